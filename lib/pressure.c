#include "briarreel/pressure.h"

#include "briarreel/admission.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define BUCKETS 256
/* Maximum number of services and of routes; bounded because names come from other processes. */
#define NAMES_MAX 4096
/* Maximum number of downstream services of a route. */
#define DOWNSTREAM_MAX 256
/* Each answer moves the learned threshold by the difference divided by this. */
#define THRESHOLD_SMOOTHING_DIV 4

/** A service called downstream of a route. */
struct downstream {
	struct service *service;
	uint64_t seen_us;
};

struct service {
	char name[BR_NAME_BYTES];
	struct service *hash_next;
	double threshold;
	uint64_t updated_us;
	bool known;
};

struct route {
	char name[BR_NAME_BYTES];
	struct route *hash_next;
	struct downstream *downstream;
	uint32_t n, max;
};

struct br_pressure {
	struct service *services[BUCKETS];
	struct route *routes[BUCKETS];
	uint32_t n_services, n_routes;
};

struct br_pressure *br_pressure_create(void)
{
	return calloc(1, sizeof(struct br_pressure));
}

void br_pressure_destroy(struct br_pressure *p)
{
	if (!p)
		return;
	for (int i = 0; i < BUCKETS; i++) {
		while (p->services[i]) {
			struct service *s = p->services[i];

			p->services[i] = s->hash_next;
			free(s);
		}
		while (p->routes[i]) {
			struct route *r = p->routes[i];

			p->routes[i] = r->hash_next;
			free(r->downstream);
			free(r);
		}
	}
	free(p);
}

static struct service *find_service(const struct br_pressure *p, const char *name)
{
	struct service *s = p->services[br_hash_str(name, 0) % BUCKETS];

	while (s && strcmp(s->name, name) != 0)
		s = s->hash_next;
	return s;
}

static struct service *add_service(struct br_pressure *p, const char *name)
{
	struct service **bucket = &p->services[br_hash_str(name, 0) % BUCKETS];
	struct service *s = find_service(p, name);

	if (s || p->n_services >= NAMES_MAX)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s || !br_copy_text(s->name, sizeof(s->name), name)) {
		free(s);
		return NULL;
	}
	s->hash_next = *bucket;
	*bucket = s;
	p->n_services++;
	return s;
}

static struct route *find_route(const struct br_pressure *p, const char *name)
{
	struct route *r = p->routes[br_hash_str(name, 0) % BUCKETS];

	while (r && strcmp(r->name, name) != 0)
		r = r->hash_next;
	return r;
}

static struct route *add_route(struct br_pressure *p, const char *name)
{
	struct route **bucket = &p->routes[br_hash_str(name, 0) % BUCKETS];
	struct route *r = find_route(p, name);

	if (r || p->n_routes >= NAMES_MAX)
		return r;
	r = calloc(1, sizeof(*r));
	if (!r || !br_copy_text(r->name, sizeof(r->name), name)) {
		free(r);
		return NULL;
	}
	r->hash_next = *bucket;
	*bucket = r;
	p->n_routes++;
	return r;
}

static bool is_expired(uint64_t updated_us, uint64_t now_us, uint64_t ttl_us)
{
	return now_us > updated_us && now_us - updated_us > ttl_us;
}

static uint32_t service_threshold(const struct service *s, uint64_t now_us)
{
	if (!s || !s->known || is_expired(s->updated_us, now_us, BR_PRESSURE_TTL_US))
		return BR_THRESHOLD_MAX;
	return (uint32_t)(s->threshold + 0.5);
}

int br_pressure_record_threshold(struct br_pressure *p, const char *service, uint32_t threshold,
				 uint64_t now_us)
{
	struct service *s = add_service(p, service);

	if (!s)
		return -ENOMEM;
	if (threshold > BR_THRESHOLD_MAX)
		threshold = BR_THRESHOLD_MAX;
	if (threshold < BR_THRESHOLD_MIN)
		threshold = BR_THRESHOLD_MIN;
	if (!s->known || is_expired(s->updated_us, now_us, BR_PRESSURE_TTL_US))
		s->threshold = threshold;
	else
		s->threshold += ((double)threshold - s->threshold) / THRESHOLD_SMOOTHING_DIV;
	s->known = true;
	s->updated_us = now_us;
	BR_INVARIANT(s->threshold >= BR_THRESHOLD_MIN && s->threshold <= BR_THRESHOLD_MAX);
	return 0;
}

/* Returns the entry of a downstream service, an expired one to reuse, or a new one. */
static struct downstream *downstream_entry(struct route *r, const struct service *s,
					   uint64_t now_us)
{
	struct downstream *reuse = NULL;

	for (uint32_t i = 0; i < r->n; i++) {
		if (r->downstream[i].service == s)
			return &r->downstream[i];
		if (is_expired(r->downstream[i].seen_us, now_us, BR_PRESSURE_DOWNSTREAM_TTL_US))
			reuse = &r->downstream[i];
	}
	if (reuse)
		return reuse;
	if (r->n == r->max) {
		uint32_t max = r->max ? 2 * r->max : 4;
		struct downstream *grown;

		if (max > DOWNSTREAM_MAX)
			return NULL;
		grown = realloc(r->downstream, max * sizeof(*grown));
		if (!grown)
			return NULL;
		r->downstream = grown;
		r->max = max;
	}
	return &r->downstream[r->n++];
}

int br_pressure_record_downstream(struct br_pressure *p, const char *route, const char *service,
				  uint64_t now_us)
{
	struct route *r = add_route(p, route);
	struct service *s = add_service(p, service);
	struct downstream *entry = r && s ? downstream_entry(r, s, now_us) : NULL;

	if (!entry)
		return -ENOMEM;
	*entry = (struct downstream){.service = s, .seen_us = now_us};
	return 0;
}

uint32_t br_pressure_threshold(const struct br_pressure *p, const char *service, uint64_t now_us)
{
	return service_threshold(find_service(p, service), now_us);
}

uint32_t br_pressure_min(const struct br_pressure *p, const char *const *services, size_t n,
			 uint64_t now_us)
{
	uint32_t min = BR_THRESHOLD_MAX;

	for (size_t i = 0; i < n; i++) {
		uint32_t threshold = br_pressure_threshold(p, services[i], now_us);

		if (threshold < min)
			min = threshold;
	}
	return min;
}

uint32_t br_pressure_route_min(const struct br_pressure *p, const char *route, uint64_t now_us)
{
	const struct route *r = find_route(p, route);
	uint32_t min = BR_THRESHOLD_MAX;

	for (uint32_t i = 0; r && i < r->n; i++) {
		uint32_t threshold = service_threshold(r->downstream[i].service, now_us);

		if (is_expired(r->downstream[i].seen_us, now_us, BR_PRESSURE_DOWNSTREAM_TTL_US))
			continue;
		if (threshold < min)
			min = threshold;
	}
	return min;
}

size_t br_pressure_downstream_services(const struct br_pressure *p, const char *route,
				       const char **out, size_t max, uint64_t now_us)
{
	const struct route *r = find_route(p, route);
	size_t n = 0;

	for (uint32_t i = 0; r && i < r->n && n < max; i++)
		if (!is_expired(r->downstream[i].seen_us, now_us, BR_PRESSURE_DOWNSTREAM_TTL_US))
			out[n++] = r->downstream[i].service->name;
	return n;
}

bool br_pressure_admit(const struct br_pressure *p, const char *service, uint32_t level,
		       struct br_rng *rng, uint64_t now_us)
{
	if (level <= BR_THRESHOLD_MIN || level <= br_pressure_threshold(p, service, now_us))
		return true;
	return br_rng_below(rng, BR_PRESSURE_PROBE_ONE_IN) == 0;
}
