#include "config.h"

#include "stage.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static void append(char *out, const char *fmt, ...)
{
	size_t len = strlen(out);
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(out + len, CONFIG_BYTES - len, fmt, ap);
	va_end(ap);
}

static void append_route(char *out, const char *name, const char *prefix, const char *kind,
			 const char *service, const char *is_public)
{
	append(out,
	       "{\"entryKind\":\"routes\",\"metadata\":{\"name\":\"%s\"},\"specification\":{"
	       "\"host\":\"" HOST "\",\"prefix\":\"%s\",\"kind\":\"%s\",\"timeout\":\"4000ms\","
	       "\"latencyTarget\":\"1500ms\",\"priority\":1,\"service\":\"%s\",\"attempts\":2,"
	       "\"public\":%s}},",
	       name, prefix, kind, service, is_public);
}

static void append_split_route(char *out, const struct config *c)
{
	append(out,
	       "{\"entryKind\":\"routes\",\"metadata\":{\"name\":\"r-read\"},\"specification\":{"
	       "\"host\":\"" HOST "\",\"prefix\":\"/read/\",\"kind\":\"safe\","
	       "\"timeout\":\"4000ms\",\"latencyTarget\":\"1500ms\",\"priority\":1,"
	       "\"weightedServices\":[{\"service\":\"shop\",\"weight\":%s},"
	       "{\"service\":\"ledger\",\"weight\":%s}],\"attempts\":2,\"public\":false}},",
	       c->shop_weight, c->ledger_weight);
}

static void append_service(char *out, const char *name)
{
	append(out,
	       "{\"entryKind\":\"services\",\"metadata\":{\"name\":\"%s\"},\"specification\":{"
	       "\"healthPath\":\"/health\",\"connectionLimit\":346,\"protocol\":\"h1\","
	       "\"tls\":false}},",
	       name);
}

char *config_write(const struct config *c, char *out)
{
	char name[32], prefix[32];

	out[0] = '\0';
	append(out, "{\"version\":\"%08x\",\"baseVersion\":\"%08x\",\"resources\":[", c->version,
	       c->version - 1);
	if (c->shop_weight)
		append_split_route(out, c);
	else
		append_route(out, "r-read", "/read/", "safe", c->read_service, "false");
	append_route(out, "r-book", "/book/", "unsafe", "shop", "false");
	append_route(out, "r-open", "/open/", "safe", "shop", "true");
	for (int i = 0; i < c->idle_routes; i++) {
		snprintf(name, sizeof(name), "r-idle%d", i);
		snprintf(prefix, sizeof(prefix), "/idle%d/", i);
		append_route(out, name, prefix, "safe", "shop", "false");
	}
	for (int i = 1; i <= c->n_more_services; i++) {
		snprintf(name, sizeof(name), "s%d", i);
		snprintf(prefix, sizeof(prefix), "/s%d/", i);
		append_route(out, name, prefix, "safe", name, "false");
		append_service(out, name);
	}
	append_service(out, "shop");
	append_service(out, "ledger");
	append(out,
	       "{\"entryKind\":\"tenants\",\"metadata\":{\"name\":\"north\"},\"specification\":{"
	       "\"apiKeys\":%s,\"priority\":1,\"ratePerS\":%g,\"burst\":%g}},",
	       c->keys, c->rate_per_s, c->burst);
	if (c->more_tenant)
		append(out,
		       "{\"entryKind\":\"tenants\",\"metadata\":{\"name\":\"%s\"},"
		       "\"specification\":{\"apiKeys\":%s,\"priority\":1,\"ratePerS\":%g,"
		       "\"burst\":%g}},",
		       c->more_tenant, c->more_keys, c->rate_per_s, c->burst);
	append(out, "{\"entryKind\":\"limits\",\"metadata\":{},\"specification\":{"
		    "\"headerBytes\":16384,\"bodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
		    "\"idleTimeout\":\"15000ms\"}}]}");
	return out;
}
