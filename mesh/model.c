#include "mesh/model.h"

#include "net/buf.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOST_BYTES 256

struct mesh_config *mesh_config_ref(struct mesh_config *c)
{
	c->refs++;
	return c;
}

void mesh_config_unref(struct mesh_config *c)
{
	if (!c || --c->refs)
		return;
	for (uint32_t i = 0; i < c->n_routes; i++) {
		free(c->routes[i].name);
		free(c->routes[i].host);
		free(c->routes[i].prefix);
		free(c->routes[i].weighted_services);
	}
	for (uint32_t i = 0; i < c->n_services; i++) {
		free(c->services[i].name);
		free(c->services[i].health_path);
	}
	for (uint32_t i = 0; i < c->n_accounts; i++)
		free(c->accounts[i].name);
	for (uint32_t i = 0; i < c->n_keys; i++)
		free(c->keys[i].text);
	free(c->routes);
	free(c->services);
	free(c->accounts);
	free(c->keys);
	free(c);
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(((const struct mesh_key *)a)->text, ((const struct mesh_key *)b)->text);
}

/* Hashes a host name in lower case and without its port. */
static uint64_t host_hash(const char *host)
{
	char lower[HOST_BYTES];
	size_t n = 0;

	for (; host[n] && host[n] != ':' && n < sizeof(lower) - 1; n++)
		lower[n] = (char)tolower((unsigned char)host[n]);
	return br_hash64(lower, n, 0);
}

/*
 * Combines both priorities, that of the account first. Without an account priority, the route's is
 * used for both.
 */
static uint8_t priority_pair(const struct mesh_route *route, const struct mesh_account *account)
{
	uint8_t major = account && account->has_priority ? account->priority : route->priority;

	return (uint8_t)(major * BR_PRIORITIES + route->priority);
}

static void add_pair(struct mesh_config *c, uint8_t pair)
{
	uint32_t i = 0;

	while (i < c->n_priority_pairs && c->priority_pairs[i] < pair)
		i++;
	if (c->n_priority_pairs == MESH_PRIORITY_PAIRS ||
	    (i < c->n_priority_pairs && c->priority_pairs[i] == pair))
		return;
	memmove(&c->priority_pairs[i + 1], &c->priority_pairs[i], c->n_priority_pairs - i);
	c->priority_pairs[i] = pair;
	c->n_priority_pairs++;
}

/*
 * Open routes are skipped: they mostly carry the targets' own calls, which get the rank of the
 * request that caused them.
 */
static void index_priorities(struct mesh_config *c)
{
	for (uint32_t i = 0; i < c->n_routes; i++) {
		if (c->routes[i].open || !c->n_accounts)
			continue;
		for (uint32_t k = 0; k < c->n_accounts; k++)
			add_pair(c, priority_pair(&c->routes[i], &c->accounts[k]));
	}
	for (uint32_t i = 0; i < c->n_routes && !c->n_priority_pairs; i++)
		add_pair(c, priority_pair(&c->routes[i], NULL));
}

uint8_t mesh_config_rank(const struct mesh_config *c, const struct mesh_route *route,
			 const struct mesh_account *account)
{
	uint8_t pair = priority_pair(route, account);
	uint32_t i = 0;

	while (i + 1 < c->n_priority_pairs && c->priority_pairs[i] < pair)
		i++;
	return (uint8_t)(c->n_priority_pairs > MESH_RANKS ? i * MESH_RANKS / c->n_priority_pairs
							  : i);
}

void mesh_config_index(struct mesh_config *c)
{
	index_priorities(c);
	for (uint32_t i = 0; i < c->n_routes; i++) {
		c->routes[i].host_hash = host_hash(c->routes[i].host);
		c->routes[i].prefix_len = strlen(c->routes[i].prefix);
	}
	for (uint32_t i = 0; i < c->n_accounts; i++)
		c->accounts[i].name_hash = br_hash_str(c->accounts[i].name, 0);
	if (c->n_keys)
		qsort(c->keys, c->n_keys, sizeof(*c->keys), compare_keys);
}

const struct mesh_route *mesh_config_route(const struct mesh_config *c, const char *host,
					   const char *path)
{
	const struct mesh_route *best = NULL;
	uint64_t hash = host_hash(host);

	for (uint32_t i = 0; i < c->n_routes; i++) {
		const struct mesh_route *r = &c->routes[i];

		if (r->host_hash != hash || strncmp(path, r->prefix, r->prefix_len) != 0)
			continue;
		if (!best || r->prefix_len > best->prefix_len)
			best = r;
	}
	return best;
}

int mesh_route_choose_service(const struct mesh_route *r, double point)
{
	double weight_sum = 0, offset;
	int chosen = -1;

	for (uint32_t i = 0; i < r->n_weighted_services; i++)
		weight_sum += r->weighted_services[i].weight;
	offset = point * weight_sum;
	for (uint32_t i = 0; i < r->n_weighted_services; i++) {
		const struct mesh_weighted_service *s = &r->weighted_services[i];

		if (s->weight <= 0)
			continue;
		/* Rounding may leave an offset behind the last one. */
		chosen = (int)s->service;
		if (offset < s->weight)
			break;
		offset -= s->weight;
	}
	return chosen;
}

int mesh_config_account(const struct mesh_config *c, const char *key)
{
	struct mesh_key wanted = {.text = (char *)key};
	const struct mesh_key *found;

	if (!c->n_keys)
		return -1;
	found = bsearch(&wanted, c->keys, c->n_keys, sizeof(*c->keys), compare_keys);
	return found ? (int)found->account : -1;
}

int mesh_config_service(const struct mesh_config *c, const char *name)
{
	for (uint32_t i = 0; i < c->n_services; i++)
		if (!strcmp(c->services[i].name, name))
			return (int)i;
	return -1;
}

int mesh_parse_addr(const char *text, struct sockaddr_in *out)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	char *end;
	unsigned long port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return -EINVAL;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	/* strtoul() also takes a sign and leading spaces. */
	if (*end || !isdigit((unsigned char)colon[1]) || !port || port > UINT16_MAX)
		return -EINVAL;
	*out = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : -EINVAL;
}

void mesh_format_addr(const struct sockaddr_in *addr, char *out, size_t out_bytes)
{
	char ip[INET_ADDRSTRLEN] = "";

	inet_ntop(AF_INET, &addr->sin_addr, ip, sizeof(ip));
	snprintf(out, out_bytes, "%s:%u", ip, ntohs(addr->sin_port));
}
