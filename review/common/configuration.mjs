/** The operator's configuration of a small deployment. */

export const HOST = "ficu95.example";
export const KEY = "asnmgkcuyj8pjbvk9m68";

export const STREAM = "/lohu930/";
export const RESUMABLE = "/pufi791/";
export const UNSAFE = "/puxa403/";
export const SAFE = "/cufi504/";

export const ENGINES = "huvo11a";
export const PLAIN = "wuno96b";

/** Figures of routes and services are those of the site's sheet. */
export function buildConfiguration(version, changes = {}) {
  const stream = {
    type: "streaming",
    hostname: HOST,
    priority: 1,
    service: ENGINES,
    public: false,
    affinity: true,
    itl_target_ms: 300,
  };
  const plain = {
    hostname: HOST,
    priority: 2,
    service: PLAIN,
    public: false,
    affinity: false,
    resumable: false,
    timeout_ms: 1_500,
    slo_ms: 300,
  };
  return {
    version,
    routes: [
      {
        ...stream,
        name: "r-stream",
        prefix: STREAM,
        timeout_ms: 10_000,
        slo_ms: 600,
        attempts: 1,
        resumable: false,
      },
      {
        ...stream,
        name: "r-resumable",
        prefix: RESUMABLE,
        timeout_ms: 8_000,
        slo_ms: 400,
        attempts: 2,
        resumable: true,
      },
      {
        ...plain,
        name: "r-unsafe",
        prefix: UNSAFE,
        type: "non_idempotent",
        attempts: 1,
      },
      {
        ...plain,
        name: "r-safe",
        prefix: SAFE,
        type: "idempotent",
        attempts: 2,
      },
    ],
    services: [
      {
        name: ENGINES,
        health_path: "/healthz",
        max_conns: 360,
        protocol: "h1",
        use_tls: false,
        cold_start_s: 0,
        cold_per_s: 0,
        runtime: { slot_count: 64, kv_cap: 444_000, models: [{ name: "m" }] },
      },
      {
        name: PLAIN,
        health_path: "/healthz",
        max_conns: 96,
        protocol: "h1",
        use_tls: false,
        cold_start_s: 0,
        cold_per_s: 0,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
      tokens_per_s: 210_000,
    },
    tenants: [{ name: "hule930", api_keys: [KEY], priority: 1 }],
    ...changes,
  };
}

const SUBJECTS = 84;
const FIRST_SUBJECT = 0x91bd3f06;
const FIRST_OWN_PART = 0x10000000;

/** Headers of a request for text; requests of a subject share its part. */
export function buildPrompt(sequence) {
  const subject = (FIRST_SUBJECT + (sequence % SUBJECTS)).toString(16);
  const own = (FIRST_OWN_PART + sequence).toString(16);
  return {
    model: "m",
    "token-count": "12000,380",
    "prefix-hash": `5c1e07a2:512,${subject}:4870,${own}:6618`,
  };
}
