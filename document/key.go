package document

import "fmt"

// Key names a key of an object in an array of tables, as Place takes it.
func Key(section string, index int, key string) string {
	return joinKey(indexed(section, index), key)
}

func indexed(section string, index int) string { return fmt.Sprintf("%s[%d]", section, index) }

func joinKey(section, key string) string {
	switch {
	case section == "":
		return key
	case key == "":
		return section
	default:
		return section + "." + key
	}
}
