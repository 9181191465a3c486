package document

import "fmt"

// Key returns the name of a key in an array of tables, in the form that Document.Location takes: section[index].key.
func Key(section string, index int, key string) string {
	return joinKey(elementKey(section, index), key)
}

func elementKey(section string, index int) string { return fmt.Sprintf("%s[%d]", section, index) }

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
