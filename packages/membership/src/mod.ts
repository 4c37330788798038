/** Failure detection and gossip between the VMs of an availability zone. */

export {};
