#ifndef DRAGONFLYTACK_SRC_BASE_HTTP_CONNECTION_STATE_H_
#define DRAGONFLYTACK_SRC_BASE_HTTP_CONNECTION_STATE_H_

struct evhttp_connection;

namespace dragonflytack {

// Returns whether the peer closed a connection or sent bytes while it was idle,
// also if the event loop has not handled this yet. Such bytes belong to no
// request.
bool IsStale(evhttp_connection* connection);

// Has the event loop read from the connection before it writes the request that
// was just passed to evhttp. Of two events of one socket, libevent handles the
// one that was added last first. So bytes that have arrived without the request
// can be distinguished from its response.
void ReadBeforeWriting(evhttp_connection* connection);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_BASE_HTTP_CONNECTION_STATE_H_
