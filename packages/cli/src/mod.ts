/** The rattanvane command line. */

export {};
