"""Names of the HTTP headers that wrenspoke reads and writes."""

PREFIX = 'Wrenspoke-'

ATTEMPT = 'Wrenspoke-Attempt'
BOUND = 'Wrenspoke-Bound'
DEADLINE_MS = 'Wrenspoke-Deadline-Ms'
ENDPOINT = 'Wrenspoke-Endpoint'
HOME = 'Wrenspoke-Home'
HOP = 'Wrenspoke-Hop'
HOST = 'Wrenspoke-Host'
LAST_EVENT_ID = 'Last-Event-ID'
# Requests per second that an endpoint accepts from all hosts together.
LIMIT = 'Server-Limit'
# Set by an endpoint in all responses before it shuts down.
LEAVING = 'Server-Leaving'
ONCE = 'Wrenspoke-Once'
OUTCOME = 'Wrenspoke-Outcome'
PRIORITY = 'Wrenspoke-Priority'
REASON = 'Wrenspoke-Reason'
REGION = 'Wrenspoke-Region'
REQUEST = 'Wrenspoke-Request-Id'
RETRY_AFTER = 'Retry-After'
RETRY_OWNED = 'Wrenspoke-Retry-Owned'
SESSION = 'Wrenspoke-Session'
TEAM = 'Wrenspoke-Team'
# The scheme is followed by the team's key.
AUTHORIZATION = 'Authorization'
SCHEME = 'bearer'
ECHOED_REQUEST_ID = 'X-Request-Id'
FENCING_NUMBER = 'X-Fencing-Number'
