#include "base/http_connection_state.h"

#include <sys/socket.h>
#include <cerrno>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

namespace dragonflytack {

bool IsStale(evhttp_connection* connection) {
  bufferevent* bufev = evhttp_connection_get_bufferevent(connection);
  const int fd = bufferevent_getfd(bufev);
  char byte;
  return evbuffer_get_length(bufferevent_get_input(bufev)) > 0 || fd < 0 ||
         recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
         (errno != EAGAIN && errno != EWOULDBLOCK);
}

void ReadBeforeWriting(evhttp_connection* connection) {
  bufferevent* bufev = evhttp_connection_get_bufferevent(connection);
  bufferevent_disable(bufev, EV_READ);
  bufferevent_enable(bufev, EV_READ);
}

}  // namespace dragonflytack
