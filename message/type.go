package message

// Type is the type byte of a message.
type Type byte

// Types of messages that callers send.
const (
	Query     Type = 'Q'
	Parse     Type = 'P'
	Bind      Type = 'B'
	Describe  Type = 'D'
	Execute   Type = 'E'
	Close     Type = 'C'
	Sync      Type = 'S'
	Flush     Type = 'H'
	Terminate Type = 'X'
)

// Types of messages that endpoints send.
const (
	ParseComplete        Type = '1'
	BindComplete         Type = '2'
	CloseComplete        Type = '3'
	CommandComplete      Type = 'C'
	DataRow              Type = 'D'
	ErrorResponse        Type = 'E'
	EmptyQueryResponse   Type = 'I'
	NoData               Type = 'n'
	NoticeResponse       Type = 'N'
	NotificationResponse Type = 'A'
	ParameterStatus      Type = 'S'
	PortalSuspended      Type = 's'
	ReadyForQuery        Type = 'Z'
	RowDescription       Type = 'T'
	ParameterDescription Type = 't'
	CopyInResponse       Type = 'G'
	CopyOutResponse      Type = 'H'
	CopyBothResponse     Type = 'W'
)

// Object kinds in Describe and Close messages.
const (
	ObjectStatement = 'S'
	ObjectPortal    = 'P'
)
