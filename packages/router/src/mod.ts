/** The router daemon: ingress, scheduler host and control port. */

export {};
