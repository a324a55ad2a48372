/**
 * @file bed.c
 * Stand-in for the platform's store, the endpoints, the routers and the clients
 * of a small deployment, on loopback addresses 127.NET.KIND.N. It speaks what
 * the users' PROTOCOL page says and writes what it sees to a record.
 *
 * usage: bed NET BALANCERS ENDPOINTS FLOWS RECORD
 *
 * Commands on standard input, one a line:
 *   open    open the flows, one request on each; replies "open N"
 *   use     one more request on each flow; replies "used" when all have ended
 *   end     replies with the counts and exits
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PORT_STORE 8400
#define PORT_PACKETS 8172
#define PORT_READINESS 8167
#define PORT_HEARTBEATS 8166
#define PORT_OUTBOUND 8162
#define PORT_ENDPOINT 8080
/** Port of the one route; its address is 127.NET.9.1. */
#define ROUTE_PORT 8443

#define HEARTBEAT_MS 1200
/** `reorder_window_ms` of the deployment, and the packets of rule FLOW (b). */
#define WINDOW_MS 2000
#define WINDOW_PACKETS 3
/** Deadline of a request, as of `manual-fetch` on the users' sheet. */
#define DEADLINE_MS 3000

#define HEAD 34
#define SYN 64U
#define ACK 2U
#define FIN 16U
#define RST 8U
#define BOUNCED 4U

#define ENDPOINTS_MAX 16
#define BALANCERS_MAX 16
#define FLOWS_MAX 256
#define SEEN_MAX 64

struct packet {
	uint32_t seq, ack, sum, dst, src;
	uint16_t sport, dport;
	uint8_t flags;
	size_t len;
	char data[64];
};

struct endpoint_flow {
	bool held, acked;
	uint16_t port;
	uint32_t first, next; /**< own sequence numbers */
};

struct endpoint {
	int udp, tcp;
	unsigned n;
	struct endpoint_flow flows[FLOWS_MAX];
};

/** A packet of a flow that reached an endpoint. */
struct sighting {
	uint64_t at;
	unsigned endpoint;
};

struct flow {
	/** CLOSING: the client has given up and sent its FIN */
	enum {
		CLOSED,
		OPENING,
		OPEN,
		WAITING,
		CLOSING
	} state;
	uint16_t port;
	uint32_t seq, ack;
	unsigned copies, requests;
	uint64_t began, next_try, pause;
	unsigned endpoint; /**< the one that took it */
	bool counted_reset, counted_stray;
	struct sighting seen[SEEN_MAX];
	size_t seen_count;
};

static unsigned net, balancer_count, endpoint_count, flow_count;
static struct endpoint endpoints[ENDPOINTS_MAX];
static struct flow flows[FLOWS_MAX];
static bool ready[BALANCERS_MAX];
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int client;
static unsigned opened, answered, resets, strays, changed, unanswered;
static uint64_t born_ms;

static uint64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static void
note(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", (double)(now_ms() - born_ms) / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

static uint32_t
ip_of(unsigned kind, unsigned n)
{
	return 127U << 24 | net << 16 | kind << 8 | n;
}

static struct sockaddr_in
sys_addr(uint32_t ip, uint16_t port)
{
	struct sockaddr_in s = {.sin_family = AF_INET};

	s.sin_addr.s_addr = htonl(ip);
	s.sin_port = htons(port);
	return s;
}

static int
open_socket(int type, uint32_t ip, uint16_t port)
{
	struct sockaddr_in s = sys_addr(ip, port);
	int fd = socket(AF_INET, type, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&s, sizeof(s)) != 0 ||
	    (type == SOCK_STREAM && listen(fd, 64) != 0)) {
		perror("bed: cannot bind");
		exit(2);
	}
	return fd;
}

/* ---- packets ---- */

static void
put(char *p, uint32_t v, unsigned bytes)
{
	for (unsigned i = 0; i < bytes; i++)
		p[i] = (char)(v >> (8 * i));
}

static uint32_t
get(const char *p, unsigned bytes)
{
	uint32_t v = 0;

	for (unsigned i = 0; i < bytes; i++)
		v |= (uint32_t)(unsigned char)p[i] << (8 * i);
	return v;
}

/* A keyed sum over all fields but echo, pad and BOUNCED. */
static uint32_t
sum_of(const char *bytes, size_t len)
{
	uint32_t h = 0x5eed1234U;

	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)bytes[i];

		if ((i >= 8 && i < 12) || (i >= 27 && i < HEAD))
			continue;
		if (i == 26)
			c = (unsigned char)(c & ~BOUNCED);
		h = (h ^ c) * 16777619U;
	}
	return h | 1;
}

static size_t
encode(const struct packet *p, char *out)
{
	memset(out, 0, HEAD);
	put(out, p->seq, 4);
	put(out + 4, p->ack, 4);
	put(out + 12, p->dst, 4);
	put(out + 16, p->sport, 2);
	put(out + 18, p->dport, 2);
	put(out + 20, p->src, 4);
	put(out + 24, (uint32_t)p->len, 2);
	out[26] = (char)p->flags;
	memcpy(out + HEAD, p->data, p->len);
	put(out + 8, sum_of(out, HEAD + p->len), 4);
	return HEAD + p->len;
}

static bool
decode(const char *in, size_t len, struct packet *p)
{
	if (len < HEAD || len > HEAD + sizeof(p->data) - 1 ||
	    get(in + 24, 2) != len - HEAD)
		return false;
	*p = (struct packet){.seq = get(in, 4),
	    .ack = get(in + 4, 4),
	    .sum = get(in + 8, 4),
	    .dst = get(in + 12, 4),
	    .sport = (uint16_t)get(in + 16, 2),
	    .dport = (uint16_t)get(in + 18, 2),
	    .src = get(in + 20, 4),
	    .flags = (uint8_t)in[26],
	    .len = len - HEAD};
	memcpy(p->data, in + HEAD, p->len);
	if (p->sum != 0 && p->sum != sum_of(in, len)) {
		changed++;
		note("a packet was changed on its way");
	}
	return true;
}

static void
send_packet(int fd, uint32_t ip, uint16_t port, const struct packet *p)
{
	char buf[HEAD + sizeof(p->data)];
	struct sockaddr_in to = sys_addr(ip, port);

	sendto(fd, buf, encode(p, buf), 0, (struct sockaddr *)&to, sizeof(to));
}

/* ---- endpoints ---- */

static struct endpoint_flow *
find_endpoint_flow(struct endpoint *e, uint16_t port, bool add)
{
	struct endpoint_flow *room = NULL;

	for (unsigned i = 0; i < FLOWS_MAX; i++) {
		if (e->flows[i].held && e->flows[i].port == port)
			return &e->flows[i];
		if (!e->flows[i].held && room == NULL)
			room = &e->flows[i];
	}
	if (!add || room == NULL)
		return NULL;
	*room = (struct endpoint_flow){
	    .held = true, .port = port, .first = (uint32_t)rand() | 1};
	return room;
}

static struct flow *
find_flow(uint16_t port)
{
	for (unsigned i = 0; i < flow_count; i++) {
		if (flows[i].port == port)
			return &flows[i];
	}
	return NULL;
}

/* Rule FLOW (b): within the window, three packets at others, none at its own.
 */
static void
see(struct flow *f, unsigned endpoint)
{
	uint64_t now = now_ms();
	size_t others = 0;
	uint64_t first = 0;

	if (f == NULL || f->state < OPEN || f->seen_count == SEEN_MAX)
		return;
	f->seen[f->seen_count++] = (struct sighting){now, endpoint};
	for (size_t i = f->seen_count; i-- > 0;) {
		if (f->seen[i].endpoint == f->endpoint)
			break;
		others++;
		first = f->seen[i].at;
	}
	if (others < WINDOW_PACKETS || now - first < WINDOW_MS ||
	    f->counted_stray)
		return;
	f->counted_stray = true;
	strays++;
	note(
	    "BROKEN: for %llu ms %zu packets of the open flow %u reached other "
	    "endpoints than %u, and none reached it",
	    (unsigned long long)(now - first), others, f->port, f->endpoint);
}

static void
on_endpoint(struct endpoint *e)
{
	char buf[2048];
	struct packet in, out;
	struct endpoint_flow *f;
	ssize_t n = recv(e->udp, buf, sizeof(buf), MSG_DONTWAIT);

	if (n <= 0 || !decode(buf, (size_t)n, &in))
		return;
	f = find_endpoint_flow(e, in.sport, (in.flags & SYN) != 0);
	if ((in.flags & SYN) == 0)
		see(find_flow(in.sport), e->n);
	if (f == NULL) {
		struct sockaddr_in to = sys_addr(ip_of(2, e->n), PORT_OUTBOUND);

		note("endpoint %u returns a packet of flow %u", e->n, in.sport);
		buf[26] = (char)(buf[26] | (char)BOUNCED);
		memset(buf + 27, 0, 3);
		sendto(e->udp, buf, (size_t)n, 0, (struct sockaddr *)&to,
		    sizeof(to));
		return;
	}
	out = (struct packet){.seq = f->first,
	    .ack = in.seq + (uint32_t)in.len + ((in.flags & SYN) != 0 ? 1 : 0),
	    .src = in.dst,
	    .dst = in.src,
	    .sport = in.dport,
	    .dport = in.sport,
	    .flags = ACK};
	if ((in.flags & SYN) != 0) {
		out.flags |= SYN;
	} else {
		f->acked = true;
		if (in.len == 0)
			return;
		out.seq = in.ack;
		out.len = (size_t)snprintf(out.data, sizeof(out.data),
		    "e%u answers %.*s", e->n, (int)in.len, in.data);
		note("endpoint %u runs %.*s of flow %u", e->n, (int)in.len,
		    in.data, in.sport);
	}
	send_packet(e->udp, ip_of(2, e->n), PORT_OUTBOUND, &out);
}

/* Sends a request and reads a short answer; returns its status, 0 for none. */
static int
http_call(uint32_t ip, uint16_t port, const char *method, const char *path,
    const char *body)
{
	struct sockaddr_in to = sys_addr(ip, port);
	struct timeval limit = {.tv_sec = 1};
	char buf[1024];
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int status = 0;
	ssize_t n;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0) {
		int len = snprintf(buf, sizeof(buf),
		    "%s %s HTTP/1.1\r\nHost: bed\r\nContent-Type: "
		    "application/json\r\nContent-Length: %zu\r\n\r\n%s",
		    method, path, strlen(body), body);

		if (send(fd, buf, (size_t)len, MSG_NOSIGNAL) == len &&
		    (n = recv(fd, buf, sizeof(buf) - 1, 0)) > 0) {
			buf[n] = '\0';
			sscanf(buf, "HTTP/1.1 %d", &status);
		}
	}
	close(fd);
	return status;
}

static void *
run_heartbeats(void *arg)
{
	struct endpoint *e = arg;
	char path[64], body[512];
	unsigned long long born = 1700000000000ULL + now_ms();

	usleep(e->n * 97000U);
	snprintf(path, sizeof(path), "/v1/instances/i-%u", e->n);
	for (unsigned sequence = 1;; sequence++) {
		snprintf(body, sizeof(body),
		    "{\"service\":\"desk\",\"address\":\"127.%u.2.%u:%u\","
		    "\"zone\":\"z\",\"version\":\"v1\",\"slots\":4,\"state\":"
		    "\"ready\",\"cold_remaining_ms\":0,\"sequence\":%u,"
		    "\"born\":%llu}",
		    net, e->n, PORT_ENDPOINT, sequence, born);
		http_call(ip_of(2, e->n), PORT_HEARTBEATS, "PUT", path, body);
		usleep(HEARTBEAT_MS * 1000);
	}
	return NULL;
}

/* The health check's port: each connection is accepted and closed. */
static void *
run_health(void *arg)
{
	struct endpoint *e = arg;

	for (;;) {
		int fd = accept(e->tcp, NULL, NULL);

		if (fd >= 0)
			close(fd);
	}
	return NULL;
}

/* ---- routers ---- */

static void *
run_readiness(void *arg)
{
	unsigned n = (unsigned)(size_t)arg, missed = 2;

	for (;;) {
		missed = http_call(ip_of(1, n + 1), PORT_READINESS, "GET",
			     "/v1/ready", "") == 200
			     ? 0
			     : missed + 1;
		if (ready[n] != (missed < 2))
			note("balancer %u is %s rotation", n + 1,
			    missed < 2 ? "in" : "out of");
		ready[n] = missed < 2;
		usleep(500000);
	}
	return NULL;
}

static uint32_t
pick_balancer(uint16_t port)
{
	unsigned best = 0;
	uint32_t most = 0;

	for (unsigned i = 0; i < balancer_count; i++) {
		uint32_t h = (port * 2654435761U) ^ ((i + 1) * 40503U);

		h = (h ^ h >> 15) * 2246822519U;
		h = (h ^ h >> 13) | 1;
		if (ready[i] && h > most) {
			most = h;
			best = i;
		}
	}
	return ip_of(1, best + 1);
}

/* ---- clients ---- */

static void
send_from_client(struct flow *f, unsigned flags, const char *data)
{
	struct packet p = {.seq = f->seq,
	    .ack = (flags & SYN) != 0 ? f->copies : f->ack,
	    .src = ip_of(4, 1),
	    .dst = ip_of(9, 1),
	    .sport = f->port,
	    .dport = ROUTE_PORT,
	    .flags = (uint8_t)flags,
	    .len = strlen(data)};

	memcpy(p.data, data, p.len);
	send_packet(client, pick_balancer(f->port), PORT_PACKETS, &p);
}

static void
send_request(struct flow *f)
{
	char data[32];

	snprintf(data, sizeof(data), "q%u.%u", f->port, f->requests);
	send_from_client(f, ACK, data);
}

static void
begin_request(struct flow *f)
{
	f->state = WAITING;
	f->requests++;
	f->began = now_ms();
	f->pause = 200;
	f->next_try = f->began + f->pause;
	f->seen_count = 0;
	note("client sends request q%u.%u", f->port, f->requests);
	send_request(f);
}

static void
on_client(void)
{
	char buf[2048], expected[32];
	struct packet p;
	struct flow *f;
	ssize_t n = recv(client, buf, sizeof(buf), MSG_DONTWAIT);

	if (n <= 0 || !decode(buf, (size_t)n, &p) ||
	    (f = find_flow(p.dport)) == NULL)
		return;
	if ((p.flags & RST) != 0) {
		note("client gets a reset of flow %u, seq %u, its last ack %u",
		    f->port, p.seq, f->ack);
		/* One that is further off is ignored. */
		if (f->state == CLOSING)
			return;
		if (f->state >= OPEN && p.seq - f->ack + 76800U > 153600U)
			return;
		if (f->state >= OPEN && !f->counted_reset) {
			f->counted_reset = true;
			resets++;
			note("BROKEN: the open flow %u was reset, and its "
			     "endpoint %u, which sent none, serves",
			    f->port, f->endpoint);
		}
		f->state = CLOSED;
		return;
	}
	if ((p.flags & SYN) != 0 && f->state == OPENING) {
		f->ack = p.seq + 1;
		f->seq++;
		begin_request(f);
		return;
	}
	snprintf(
	    expected, sizeof(expected), "answers q%u.%u", f->port, f->requests);
	if (f->state != WAITING || p.len == 0 ||
	    strstr(p.data, expected) == NULL)
		return;
	sscanf(p.data, "e%u", &f->endpoint);
	if (f->requests == 1)
		opened++;
	answered++;
	note("client has the answer \"%s\"", p.data);
	f->seq += (uint32_t)strlen(expected) - 8;
	f->ack = p.seq + (uint32_t)p.len;
	f->state = OPEN;
	send_from_client(f, ACK, "");
}

static void
tick_flow(struct flow *f)
{
	uint64_t now = now_ms();

	if (f->state == OPENING && now >= f->next_try) {
		if (f->copies == 2) {
			note("flow %u did not open", f->port);
			f->state = CLOSED;
			return;
		}
		f->copies++;
		f->next_try = f->began + (f->copies == 1 ? 600 : 1400);
		send_from_client(f, SYN, "");
	} else if (f->state == WAITING && now >= f->began + DEADLINE_MS) {
		note("client gives up q%u.%u and closes its flow", f->port,
		    f->requests);
		unanswered++;
		f->state = CLOSING;
		send_from_client(f, FIN | ACK, "");
	} else if (f->state == WAITING && now >= f->next_try) {
		f->pause = f->pause < 1600 ? f->pause * 2 : 1600;
		f->next_try = now + f->pause;
		send_request(f);
	}
}

/* ---- store ---- */

static const char config_format[] =
    "{\"meta\":{\"name\":\"main\",\"revision\":5,\"created_at\":1,"
    "\"finalizers\":[],\"delete_requested\":false},\"spec\":{\"version\":7,"
    "\"routes\":[{\"name\":\"r\",\"host\":\"127.%u.9.1\",\"path_prefix\":"
    "\"/8443/\",\"type\":\"download\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":500,\"priority\":2,\"service\":\"desk\","
    "\"max_attempts\":2}],\"services\":[{\"name\":\"desk\",\"health_path\":"
    "\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false}],"
    "\"limits\":{\"idle_timeout_ms\":15000}},\"status\":null}";
/** The configuration as the store holds it. */
static char config[sizeof(config_format) + 16];

/** An object that the system wrote; bodies are kept as they came. */
struct object {
	char path[600];
	char *body;
};

static struct object objects[64];
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned revision = 10;

static struct object *
find_object(const char *path, bool add)
{
	for (size_t i = 0; i < 64; i++) {
		if (objects[i].body != NULL &&
		    strcmp(objects[i].path, path) == 0)
			return &objects[i];
	}
	for (size_t i = 0; add && i < 64; i++) {
		if (objects[i].body != NULL)
			continue;
		snprintf(objects[i].path, sizeof(objects[i].path), "%s", path);
		return &objects[i];
	}
	return NULL;
}

/* The body as an object of the store: its meta gets the revision. */
static char *
stored_form(const char *body)
{
	const char *name = strstr(body, "\"name\":\"");
	const char *spec = strstr(body, "\"spec\":");
	char *out = malloc(strlen(body) + 256);
	int len = 0;

	if (name == NULL || spec == NULL) {
		free(out);
		return NULL;
	}
	name += 8;
	while (name[len] != '"')
		len++;
	sprintf(out,
	    "{\"meta\":{\"name\":\"%.*s\",\"revision\":%u,\"created_at\":1,"
	    "\"finalizers\":[],\"delete_requested\":false},%s",
	    len, name, ++revision, spec);
	return out;
}

static char *
list_kind(const char *kind)
{
	size_t cap = 1 << 20, len, prefix = strlen(kind);
	char *out = malloc(cap);
	bool any = false;

	len = (size_t)sprintf(out, "{\"items\":[");
	for (size_t i = 0; i < 64; i++) {
		if (objects[i].body == NULL ||
		    strncmp(objects[i].path, kind, prefix) != 0 ||
		    objects[i].path[prefix] != '/')
			continue;
		len += (size_t)snprintf(out + len, cap - len, "%s%s",
		    any ? "," : "", objects[i].body);
		any = true;
	}
	snprintf(out + len, cap - len, "],\"has_more\":false,\"as_of\":%u}",
	    revision);
	return out;
}

/* Answers one call; returns the status, and the body in *out. */
static int
answer_call(const char *method, char *path, const char *body, char **out)
{
	char *query = strchr(path, '?');
	const char *kind = path + strlen("/v1/objects/");
	struct object *o;
	char full[600], *made;

	if (query != NULL)
		*query++ = '\0';
	if (strncmp(kind, "config", 6) == 0) {
		*out = malloc(sizeof(config) + 128);
		if (query != NULL && strstr(query, "watch=") != NULL)
			sprintf(*out, "{\"events\":[],\"as_of\":%u}", revision);
		else
			sprintf(*out,
			    "{\"items\":[%s],\"has_more\":false,\"as_of\":%u}",
			    config, revision);
		return 200;
	}
	if (strcmp(method, "GET") == 0 && strchr(kind, '/') == NULL) {
		*out = list_kind(kind);
		return 200;
	}
	if (strcmp(method, "POST") == 0) {
		const char *name = strstr(body, "\"name\":\"");
		int len = 0;

		if (name == NULL)
			return 400;
		name += 8;
		while (name[len] != '"')
			len++;
		snprintf(full, sizeof(full), "%s/%.*s", kind, len, name);
	} else {
		snprintf(full, sizeof(full), "%s", kind);
	}
	o = find_object(full, false);
	if (strcmp(method, "POST") == 0 ? o != NULL : o == NULL) {
		*out = strdup(o != NULL ? o->body : "{}");
		return o != NULL ? 409 : 404;
	}
	if (strcmp(method, "DELETE") == 0) {
		free(o->body);
		o->body = NULL;
		return 200;
	}
	if (strcmp(method, "GET") != 0) {
		made = stored_form(body);
		if (made == NULL)
			return 400;
		o = find_object(full, true);
		if (o == NULL)
			return 503;
		free(o->body);
		o->body = made;
	}
	*out = strdup(o->body);
	return 200;
}

static void *
run_store_connection(void *arg)
{
	int fd = (int)(size_t)arg;
	size_t cap = 1 << 18, used = 0;
	char *buf = malloc(cap + 1);

	for (;;) {
		char method[16], path[512], *end, *at, *body = NULL;
		size_t len = 0, head;
		unsigned wait = 0;
		int status;
		char line[160];
		ssize_t n;

		buf[used] = '\0';
		while ((end = strstr(buf, "\r\n\r\n")) == NULL) {
			n = recv(fd, buf + used, cap - used, 0);
			if (n <= 0)
				goto done;
			used += (size_t)n;
			buf[used] = '\0';
		}
		head = (size_t)(end + 4 - buf);
		if ((at = strcasestr(buf, "content-length:")) != NULL &&
		    at < end)
			len = strtoul(at + 15, NULL, 10);
		if (len > cap - head)
			goto done;
		while (used < head + len) {
			n = recv(fd, buf + used, cap - used, 0);
			if (n <= 0)
				goto done;
			used += (size_t)n;
		}
		buf[used] = '\0';
		if (sscanf(buf, "%15s %511s", method, path) != 2 ||
		    strncmp(path, "/v1/objects/", 12) != 0)
			goto done;
		if ((at = strstr(path, "wait_ms=")) != NULL)
			wait = (unsigned)atoi(at + 8);
		/* The configuration does not change, so a watch waits. */
		usleep(4000 + wait * 1000);
		pthread_mutex_lock(&store_lock);
		at = strndup(buf + head, len);
		status = answer_call(method, path, at, &body);
		free(at);
		pthread_mutex_unlock(&store_lock);
		n = snprintf(line, sizeof(line),
		    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		    "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n",
		    status, body == NULL ? 2 : strlen(body));
		send(fd, line, (size_t)n, MSG_NOSIGNAL);
		send(fd, body == NULL ? "{}" : body,
		    body == NULL ? 2 : strlen(body), MSG_NOSIGNAL);
		free(body);
		memmove(buf, buf + head + len, used - head - len);
		used -= head + len;
	}
done:
	free(buf);
	close(fd);
	return NULL;
}

static void
begin_thread(void *(*run)(void *), void *arg)
{
	pthread_t t;

	if (pthread_create(&t, NULL, run, arg) != 0) {
		perror("bed: cannot create a thread");
		exit(2);
	}
	pthread_detach(t);
}

static void *
run_store(void *arg)
{
	int listener = (int)(size_t)arg;

	for (;;) {
		int fd = accept(listener, NULL, NULL);

		if (fd >= 0)
			begin_thread(run_store_connection, (void *)(size_t)fd);
	}
	return NULL;
}

/* ---- commands ---- */

static bool
any_in(int state)
{
	for (unsigned i = 0; i < flow_count; i++) {
		if ((int)flows[i].state == state)
			return true;
	}
	return false;
}

static void
open_flows(void)
{
	for (unsigned i = 0; i < flow_count; i++) {
		struct flow *f = &flows[i];

		f->state = OPENING;
		f->port = (uint16_t)(30000 + i);
		f->seq = (uint32_t)rand();
		f->began = now_ms();
		f->next_try = f->began + 200;
		send_from_client(f, SYN, "");
	}
}

/* Returns false at the end. */
static bool
run_command(const char *text, const char **reply)
{
	if (strcmp(text, "open\n") == 0) {
		open_flows();
		*reply = "open";
	} else if (strcmp(text, "use\n") == 0) {
		for (unsigned i = 0; i < flow_count; i++) {
			if (flows[i].state == OPEN)
				begin_request(&flows[i]);
		}
		*reply = "used";
	} else if (strcmp(text, "end\n") == 0) {
		note("flows opened %u, requests answered %u, unanswered %u, "
		     "open flows reset %u, open flows whose packets strayed "
		     "%u, packets changed %u",
		    opened, answered, unanswered, resets, strays, changed);
		printf("opened %u answered %u unanswered %u resets %u strays "
		       "%u changed %u\n",
		    opened, answered, unanswered, resets, strays, changed);
		fflush(stdout);
		return false;
	}
	return true;
}

int
main(int argc, char **argv)
{
	struct pollfd fds[ENDPOINTS_MAX + 2];
	const char *reply = NULL;
	char line[64];
	int listener;

	if (argc != 6)
		return 64;
	signal(SIGPIPE, SIG_IGN);
	born_ms = now_ms();
	srand(1);
	net = (unsigned)atoi(argv[1]);
	balancer_count = (unsigned)atoi(argv[2]);
	endpoint_count = (unsigned)atoi(argv[3]);
	flow_count = (unsigned)atoi(argv[4]);
	record = fopen(argv[5], "a");
	if (record == NULL || balancer_count > BALANCERS_MAX ||
	    endpoint_count > ENDPOINTS_MAX || flow_count > FLOWS_MAX)
		return 64;
	snprintf(config, sizeof(config), config_format, net);
	listener = open_socket(SOCK_STREAM, ip_of(0, 1), PORT_STORE);
	begin_thread(run_store, (void *)(size_t)listener);
	client = open_socket(SOCK_DGRAM, ip_of(4, 1), PORT_PACKETS);
	for (unsigned i = 0; i < endpoint_count; i++) {
		struct endpoint *e = &endpoints[i];

		e->n = i + 1;
		e->udp = open_socket(SOCK_DGRAM, ip_of(2, e->n), PORT_ENDPOINT);
		e->tcp =
		    open_socket(SOCK_STREAM, ip_of(2, e->n), PORT_ENDPOINT);
		fds[i] = (struct pollfd){e->udp, POLLIN, 0};
		begin_thread(run_heartbeats, e);
		begin_thread(run_health, e);
	}
	for (unsigned i = 0; i < balancer_count; i++)
		begin_thread(run_readiness, (void *)(size_t)i);
	fds[endpoint_count] = (struct pollfd){client, POLLIN, 0};
	fds[endpoint_count + 1] = (struct pollfd){0, POLLIN, 0};
	printf("ready\n");
	fflush(stdout);
	for (;;) {
		poll(fds, endpoint_count + 2, 10);
		for (unsigned i = 0; i < endpoint_count; i++) {
			if ((fds[i].revents & POLLIN) != 0)
				on_endpoint(&endpoints[i]);
		}
		if ((fds[endpoint_count].revents & POLLIN) != 0)
			on_client();
		for (unsigned i = 0; i < flow_count; i++)
			tick_flow(&flows[i]);
		if (reply != NULL && !any_in(OPENING) && !any_in(WAITING)) {
			printf("%s %u\n", reply, opened);
			fflush(stdout);
			reply = NULL;
		}
		if (reply == NULL && (fds[endpoint_count + 1].revents &
					 (POLLIN | POLLHUP)) != 0) {
			if (fgets(line, sizeof(line), stdin) == NULL)
				return 0;
			if (!run_command(line, &reply))
				return 0;
		}
	}
}
