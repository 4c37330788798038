/** Fair queueing between organisations with costs known at the end. */

export {};
