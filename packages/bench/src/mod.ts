/** Test support: local fleets of real processes, the demo, load and experiments. */

export {};
