/**
 * @file platform.c
 * Stand-in for the platform's object service, with GET (long-poll by wait=S)
 * and conditional PUT. PUT /faults injects faults by its parameters:
 *   outage=0|1  close each connection without a response
 *   slow=MS     delay each response
 *   lose=N      lose the responses to the next N writes, after the write
 *   limit=N     reject the next N requests with 429
 */
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#define OBJECTS_MAX 256
#define VALUE_MAX (1024 * 1024)

struct object {
	char path[128];
	char *value;
	size_t len;
	unsigned long version;
};

/** Body of a request, as far as it has been received. */
struct upload {
	char *data;
	size_t len;
};

static struct object objects[OBJECTS_MAX];
static size_t object_count;
static unsigned long next_version = 1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static struct {
	int outage;
	int slow_ms;
	int lost_responses;
	int rejected_requests;
} faults;

static struct object *
find_object(const char *path)
{
	for (size_t i = 0; i < object_count; i++) {
		if (strcmp(objects[i].path, path) == 0)
			return &objects[i];
	}
	return NULL;
}

static enum MHD_Result
respond(struct MHD_Connection *c, unsigned code, const char *body, size_t len,
    unsigned long version)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    len, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;
	char etag[32];

	if (version > 0) {
		snprintf(etag, sizeof(etag), "\"%lu\"", version);
		MHD_add_response_header(r, "ETag", etag);
	}
	rc = MHD_queue_response(c, code, r);
	MHD_destroy_response(r);
	return rc;
}

static unsigned long
header_version(struct MHD_Connection *c, const char *name)
{
	const char *v = MHD_lookup_connection_value(c, MHD_HEADER_KIND, name);

	return v == NULL || v[0] != '"' ? 0 : strtoul(v + 1, NULL, 10);
}

/* Needs the lock, and holds it again on return. */
static enum MHD_Result
handle_get(struct MHD_Connection *c, const char *path)
{
	const char *wait =
	    MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND, "wait");
	unsigned long known = header_version(c, "If-None-Match");
	struct object *o = find_object(path);
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait == NULL ? 0 : atoi(wait);
	while (wait != NULL && !faults.outage &&
	       (o == NULL || o->version == known)) {
		if (pthread_cond_timedwait(&changed, &lock, &until) != 0)
			break;
		o = find_object(path);
	}
	if (faults.outage)
		return MHD_NO;
	if (o == NULL)
		return respond(c, 404, "", 0, 0);
	if (o->version == known)
		return respond(c, 304, "", 0, o->version);
	return respond(c, 200, o->value, o->len, o->version);
}

static enum MHD_Result
handle_put(struct MHD_Connection *c, const char *path, const struct upload *u)
{
	unsigned long match = header_version(c, "If-Match");
	const char *none =
	    MHD_lookup_connection_value(c, MHD_HEADER_KIND, "If-None-Match");
	struct object *o = find_object(path);

	if (u->len > VALUE_MAX)
		return respond(c, 413, "", 0, 0);
	if ((match != 0 && (o == NULL || o->version != match)) ||
	    (none != NULL && o != NULL))
		return respond(c, 412, "", 0, o == NULL ? 0 : o->version);
	if (o == NULL) {
		if (object_count == OBJECTS_MAX)
			return respond(c, 507, "", 0, 0);
		o = &objects[object_count++];
		snprintf(o->path, sizeof(o->path), "%s", path);
	}
	free(o->value);
	o->value = malloc(u->len + 1);
	memcpy(o->value, u->data, u->len);
	o->len = u->len;
	o->version = next_version++;
	pthread_cond_broadcast(&changed);
	if (faults.lost_responses > 0) {
		faults.lost_responses--;
		return MHD_NO;
	}
	return respond(c, 200, "", 0, o->version);
}

static enum MHD_Result
set_fault(
    void *ctx, enum MHD_ValueKind kind, const char *key, const char *value)
{
	int n = value == NULL ? 0 : atoi(value);

	(void)ctx;
	(void)kind;
	if (strcmp(key, "outage") == 0)
		faults.outage = n;
	else if (strcmp(key, "slow") == 0)
		faults.slow_ms = n;
	else if (strcmp(key, "lose") == 0)
		faults.lost_responses = n;
	else if (strcmp(key, "limit") == 0)
		faults.rejected_requests = n;
	pthread_cond_broadcast(&changed);
	return MHD_YES;
}

static enum MHD_Result
serve(struct MHD_Connection *c, const char *path, const char *method,
    const struct upload *u)
{
	enum MHD_Result rc;

	if (strcmp(path, "/faults") == 0) {
		pthread_mutex_lock(&lock);
		MHD_get_connection_values(
		    c, MHD_GET_ARGUMENT_KIND, set_fault, NULL);
		pthread_mutex_unlock(&lock);
		return respond(c, 204, "", 0, 0);
	}
	usleep((unsigned)faults.slow_ms * 1000);
	pthread_mutex_lock(&lock);
	if (faults.outage) {
		rc = MHD_NO;
	} else if (faults.rejected_requests > 0) {
		faults.rejected_requests--;
		rc = respond(c, 429, "", 0, 0);
	} else if (strcmp(method, "GET") == 0) {
		rc = handle_get(c, path);
	} else if (strcmp(method, "PUT") == 0) {
		rc = handle_put(c, path, u);
	} else {
		rc = respond(c, 405, "", 0, 0);
	}
	pthread_mutex_unlock(&lock);
	return rc;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *c, const char *path,
    const char *method, const char *version, const char *data, size_t *len,
    void **state)
{
	struct upload *u = *state;

	(void)ctx;
	(void)version;
	if (u == NULL) {
		*state = calloc(1, sizeof(*u));
		return MHD_YES;
	}
	if (*len > 0) {
		u->data = realloc(u->data, u->len + *len);
		memcpy(u->data + u->len, data, *len);
		u->len += *len;
		*len = 0;
		return MHD_YES;
	}
	return serve(c, path, method, u);
}

static void
on_complete(void *ctx, struct MHD_Connection *c, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct upload *u = *state;

	(void)ctx;
	(void)c;
	(void)code;
	if (u == NULL)
		return;
	free(u->data);
	free(u);
}

int
main(int argc, char **argv)
{
	struct MHD_Daemon *d;
	sigset_t set;
	int sig;

	if (argc != 2) {
		fprintf(stderr, "usage: platform PORT\n");
		return 64;
	}
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	d = MHD_start_daemon(
	    MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
	    (uint16_t)atoi(argv[1]), NULL, NULL, on_request, NULL,
	    MHD_OPTION_NOTIFY_COMPLETED, on_complete, NULL, MHD_OPTION_END);
	if (d == NULL) {
		fprintf(
		    stderr, "platform: cannot listen on port %s\n", argv[1]);
		return 71;
	}
	sigwait(&set, &sig);
	_exit(0);
}
