#include "common/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

/* Facility "daemon" of RFC 5424, shifted to its place in the priority value. */
#define LOG_FACILITY_DAEMON (3 << 3)

static const char *log_program = "briarreel";
static enum log_level log_max_level = LOG_LEVEL_INFO;

void log_init(const char *program, enum log_level level)
{
	log_program = program;
	log_max_level = level;
}

void log_write(enum log_level level, const char *prefix, const char *fmt, ...)
{
	char text[512];
	char stamp[32];
	struct timespec ts;
	struct tm tm;
	va_list ap;

	if (level > log_max_level)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	fprintf(stderr, "<%d>%s.%03ldZ %s[%d]: %s: %s\n", LOG_FACILITY_DAEMON | (int)level, stamp,
		ts.tv_nsec / 1000000, log_program, (int)getpid(), prefix, text);
}
