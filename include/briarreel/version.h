/**
 * @file version.h
 * Version of the library.
 */
#ifndef BRIARREEL_VERSION_H
#define BRIARREEL_VERSION_H

/** Version of the library, such as "0.1.0". */
const char *br_version(void);

#endif
