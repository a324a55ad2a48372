/**
 * @file log.h
 * Log lines on standard error with a syslog priority:
 * "<priority>persimmonwinch[pid]: module: text".
 */
#ifndef PW_LOG_H
#define PW_LOG_H

#include <syslog.h>

/**
 * Write one line.
 * @param level LOG_ERR .. LOG_DEBUG
 * @param module name of the module that logs
 */
void log_line(int level, const char *module, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/** Drop lines that are less severe than a level (LOG_ERR .. LOG_DEBUG). */
void log_set_level(int level);

/* A file that uses these macros defines LOG_MODULE as its module's name. */
#define LOG_ERROR(...) log_line(LOG_ERR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARN(...) log_line(LOG_WARNING, LOG_MODULE, __VA_ARGS__)
#define LOG_NOTE(...) log_line(LOG_NOTICE, LOG_MODULE, __VA_ARGS__)
#define LOG_TRACE(...) log_line(LOG_DEBUG, LOG_MODULE, __VA_ARGS__)

#endif
