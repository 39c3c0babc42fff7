//! Tickets, ranks and shares in the queue of a pool.
