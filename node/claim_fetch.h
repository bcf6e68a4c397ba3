/**
 * @file claim_fetch.h
 * Transfer of the claims of released slots: a thread that fetches them from the former holders, and
 * the handler that serves them to new holders.
 */
#ifndef NODE_CLAIM_FETCH_H
#define NODE_CLAIM_FETCH_H

struct claim_fetcher;
struct claim_slots;
struct mg_connection;
struct node;

/** Starts the fetch thread. Returns NULL on failure. slots must outlive the fetcher. */
struct claim_fetcher *claim_fetcher_create(struct node *node, struct claim_slots *slots);
/** Ends the fetch thread and waits for it. */
void claim_fetcher_destroy(struct claim_fetcher *f);

/**
 * Serves GET /briarreel/claims?slot=N&from=K&incarnation=I on the peer port: one page of the claims
 * of a released slot, starting at claim K. Answers 404 if this node does not have them or is no
 * longer the process with incarnation I.
 */
void claim_fetch_serve(struct node *node, struct claim_slots *slots, struct mg_connection *conn);

#endif
