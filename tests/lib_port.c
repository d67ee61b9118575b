#include "lib_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

uint16_t lib_port_find_unused(void)
{
	struct sockaddr_in in = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&in, &length) != 0)
		in.sin_port = 0;
	close(fd);
	return ntohs(in.sin_port);
}
