/** Test support: stand-ins of the platform, the engines and the plain services, and a fault-injecting proxy. */

export {};
