/**
 * @file version.h
 * The library's version.
 */
#ifndef BRIARREEL_VERSION_H
#define BRIARREEL_VERSION_H

/** Returns the version of the library, such as "0.1.0"; a static string. */
const char *br_version(void);

#endif
