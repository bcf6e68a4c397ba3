/**
 * @file slot_control.h
 * Acquires, renews and releases share slots on the platform and publishes the map of all slots.
 * Control thread only.
 */
#ifndef NODE_SLOT_CONTROL_H
#define NODE_SLOT_CONTROL_H

#include "briarreel/slot.h"

#include <msgpack.h>

struct control;
struct slot_control;
struct wire_out;

/** Returns NULL if out of memory. */
struct slot_control *slot_control_create(struct control *ctl);
void slot_control_destroy(struct slot_control *sc);

/** Runs the state machine; call about every 100 ms. */
void slot_control_tick(struct slot_control *sc, uint64_t now_us);

/** Starts the clean release of all slots. */
void slot_control_release(struct slot_control *sc, uint64_t now_us);
/** True if every slot is released and no operation is pending. */
bool slot_control_released(const struct slot_control *sc);

/** The state machine, owned by sc; NULL before the first configuration. */
struct br_slots *slot_control_slots(struct slot_control *sc);
/** Number of slots; 0 before the first configuration. */
uint32_t slot_control_n_slots(const struct slot_control *sc);

/** Hash of the slot map, compared with that of peers; 0 before the first configuration. */
uint64_t slot_control_digest(const struct slot_control *sc);
/** Writes the slot map as one array. */
void slot_control_encode(const struct slot_control *sc, struct wire_out *out);
/** Merges a slot map written by slot_control_encode() on a peer; skips malformed entries. */
void slot_control_merge(struct slot_control *sc, const msgpack_object *list);

#endif
