/**
 * @file log.h
 * Syslog-style log lines on standard error. A source file that uses the log_*() macros defines
 * LOG_PREFIX, the name of its part of the program.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

/** Severities, with the numbers of RFC 5424. */
enum log_level {
	LOG_LEVEL_ERR = 3,
	LOG_LEVEL_WARNING = 4,
	LOG_LEVEL_NOTICE = 5,
	LOG_LEVEL_INFO = 6,
	LOG_LEVEL_DEBUG = 7,
};

/** Sets the program name, which is not copied, and the least severe level that is written. */
void log_init(const char *program, enum log_level level);

/** Writes one line; prefix names the part of the program. Text beyond 511 bytes is cut off. */
void log_write(enum log_level level, const char *prefix, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define log_err(...) log_write(LOG_LEVEL_ERR, LOG_PREFIX, __VA_ARGS__)
#define log_warn(...) log_write(LOG_LEVEL_WARNING, LOG_PREFIX, __VA_ARGS__)
#define log_notice(...) log_write(LOG_LEVEL_NOTICE, LOG_PREFIX, __VA_ARGS__)
#define log_info(...) log_write(LOG_LEVEL_INFO, LOG_PREFIX, __VA_ARGS__)
#define log_debug(...) log_write(LOG_LEVEL_DEBUG, LOG_PREFIX, __VA_ARGS__)

#endif
