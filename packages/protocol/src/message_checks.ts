/** Checks the fields of messages, which may come from another release. */

import { MessageKind } from "./message_kind.ts";

/** Longer texts, such as ids, are not accepted. */
const MAX_TEXT_LENGTH = 512;
const MAX_ITEMS = 20_000;

/** Whether a value is acceptable for a field. */
type Check = (value: unknown) => boolean;

const isText: Check = (value) =>
  typeof value === "string" && value.length <= MAX_TEXT_LENGTH;
const isNumber: Check = (value) =>
  typeof value === "number" && Number.isFinite(value);
const isAmount: Check = (value) => isNumber(value) && (value as number) >= 0;
const isFlag: Check = (value) => typeof value === "boolean";
const isBytes: Check = (value) => value instanceof Uint8Array;

/** Accepts a missing value as well. */
function createOptional(check: Check): Check {
  return (value) => value === undefined || check(value);
}

function createList(check: Check): Check {
  return (value) =>
    Array.isArray(value) && value.length <= MAX_ITEMS && value.every(check);
}

function createObject(fields: Record<string, Check>): Check {
  const checks = Object.entries(fields);
  return (value) => {
    if (typeof value !== "object" || value === null) {
      return false;
    }
    const object = value as Record<string, unknown>;
    return checks.every(([name, check]) => check(object[name]));
  };
}

const isContact = createObject({
  vm: isText,
  zone: isText,
  host: isText,
  controlPort: isAmount,
  callerPort: isAmount,
  capacity: createOptional(isAmount),
});

const isReport = createObject({
  running: isAmount,
  slowdown: (value) => isAmount(value) && value !== 0,
  ageMilliseconds: isAmount,
});

const isRow = createObject({
  key: isText,
  version: isNumber,
  value: isBytes,
});

const TABLE_AGE_FIELDS = {
  version: isNumber,
  era: createOptional(isAmount),
  digest: isText,
  ageMilliseconds: isAmount,
};

const isTableAge = createObject(TABLE_AGE_FIELDS);
const isNamedTableAge = createObject({ ...TABLE_AGE_FIELDS, table: isText });

const DEPARTURE_FIELDS = {
  endpoint: isText,
  startedAtUnixMilliseconds: createOptional(isNumber),
};

const LIMIT_FIELDS = {
  endpoint: isText,
  startedAtUnixMilliseconds: createOptional(isNumber),
  requestsPerSecond: createOptional(isAmount),
  ageMilliseconds: isAmount,
};

const isCrashReport = createObject({
  endpoint: isText,
  startedAtUnixMilliseconds: isNumber,
  ageMilliseconds: isAmount,
  parts: createList(createObject({
    part: isText,
    sentAgeMilliseconds: isAmount,
    depth: isAmount,
  })),
});

const isRolloutNews = createObject({
  records: createList(isBytes),
  reports: createList(createObject({
    service: isText,
    generation: isAmount,
    process: isText,
    reached: isAmount,
    exposed: isAmount,
    answered: isAmount,
    grantTerm: isAmount,
    grantSequence: isAmount,
    isSuspect: isFlag,
    statistics: createOptional(createList(createObject({
      route: isText,
      side: isAmount,
      answered: isAmount,
      failed: isAmount,
      first: createList(isAmount),
      whole: createList(isAmount),
    }))),
  })),
  grants: createList(createObject({
    service: isText,
    generation: isAmount,
    term: isAmount,
    sequence: isAmount,
    share: isAmount,
    isUnlimited: isFlag,
    isSuspect: isFlag,
    allowances: createList(createObject({
      process: isText,
      attempts: isAmount,
    })),
  })),
});

const isPromptPart: Check = (value) =>
  Array.isArray(value) && value.length === 2 && isText(value[0]) &&
  isAmount(value[1]);

const isPrompt = createObject({
  tokens: isAmount,
  outputTokens: isAmount,
  parts: createList(isPromptPart),
});

const isGossip = createObject({
  updates: createList(createObject({
    contact: isContact,
    state: isText,
    incarnation: isNumber,
  })),
  suspects: createList(createObject({
    fingerprint: isText,
    crashedAttempts: createList(isText),
    ageMilliseconds: isAmount,
  })),
  terms: createList(isObject),
  configurationVersion: isNumber,
});

function isObject(value: unknown): boolean {
  return typeof value === "object" && value !== null;
}

const isEntry = createObject({ entry: isText });

/** The checks of the kinds that VMs with forwarding routes exchange. */
const CHECKS: Partial<Record<MessageKind, Check>> = {
  [MessageKind.Probe]: createObject({
    sequence: isAmount,
    from: isContact,
    gossip: isGossip,
  }),
  [MessageKind.ProbeReply]: createObject({
    sequence: isAmount,
    from: isText,
    gossip: isGossip,
  }),
  [MessageKind.IndirectProbe]: createObject({
    sequence: isAmount,
    from: isContact,
    target: isContact,
  }),
  [MessageKind.IndirectProbeReply]: createObject({
    sequence: isAmount,
    target: isText,
  }),
  [MessageKind.ForwardingState]: createObject({
    sequence: isAmount,
    echo: isAmount,
    endpoints: createList(createObject({
      endpoint: isText,
      running: isAmount,
      prefillTokens: isAmount,
      recentTokens: isAmount,
      downAgeMilliseconds: createOptional(isAmount),
      report: createOptional(isReport),
    })),
    organisations: createList(createObject({
      organisation: isText,
      asked: isAmount,
      granted: isAmount,
    })),
    suspects: createList(createObject({
      fingerprint: isText,
      crashedAttempts: createList(isText),
      ageMilliseconds: isAmount,
    })),
    crashes: createOptional(createList(isCrashReport)),
    soundParts: createOptional(createList(createObject({
      part: isText,
      ageMilliseconds: isAmount,
    }))),
    places: createOptional(createList(createObject({
      key: isAmount,
      returnMilliseconds: isAmount,
    }))),
    departures: createOptional(createList(createObject(DEPARTURE_FIELDS))),
    limits: createOptional(createList(createObject(LIMIT_FIELDS))),
    configuration: createOptional(isTableAge),
    registrations: createOptional(isTableAge),
    schedulers: createOptional(createList(isContact)),
    zoneVms: createOptional(isAmount),
    zoneDigest: createOptional(isText),
    rollouts: createOptional(isRolloutNews),
  }),
  [MessageKind.EndpointDeparture]: createObject(DEPARTURE_FIELDS),
  [MessageKind.EndpointLimit]: createObject(LIMIT_FIELDS),
  [MessageKind.RequestTable]: createObject({ table: isText }),
  [MessageKind.TableCopy]: createObject({
    table: isText,
    version: isNumber,
    era: createOptional(isAmount),
    rows: createList(isRow),
    holdMilliseconds: createOptional(isAmount),
  }),
  [MessageKind.TableChanges]: createObject({
    table: isText,
    digestBefore: isText,
    digest: isText,
    version: isNumber,
    era: createOptional(isAmount),
    rows: createList(isRow),
    removedKeys: createList(isText),
    isAfterOutage: isFlag,
    holdMilliseconds: createOptional(isAmount),
  }),
  [MessageKind.ZoneSchedulers]: createObject({
    schedulers: createList(isContact),
  }),
  [MessageKind.SubmitRequest]: createObject({
    entry: isText,
    request: isText,
    service: isText,
    organisation: createOptional(isText),
    priority: isNumber,
    fingerprint: isText,
    objectiveMilliseconds: isAmount,
    pauseMilliseconds: isAmount,
    route: createOptional(isText),
    waitedMilliseconds: isAmount,
    remainingMilliseconds: isNumber,
    prompt: createOptional(isPrompt),
    avoid: createList(isText),
    excluded: createOptional(createList(isText)),
    isRepeated: isFlag,
    isHedge: createOptional(isFlag),
    originZone: createOptional(isText),
    bodyBytes: createOptional(isAmount),
  }),
  [MessageKind.WithdrawRequest]: isEntry,
  [MessageKind.RequestQueued]: isEntry,
  [MessageKind.GrantRequest]: createObject({
    entry: isText,
    endpoint: isText,
    zone: isText,
    host: isText,
    port: isAmount,
    waitedMilliseconds: isAmount,
    predictedMilliseconds: isAmount,
    ownTokens: isAmount,
    aheadTokens: isNumber,
    missingTokens: isAmount,
    isLong: isFlag,
    running: isAmount,
    slowMilliseconds: createOptional(isAmount),
  }),
  [MessageKind.RefuseRequest]: createObject({
    entry: isText,
    reason: isText,
    retryAfterMilliseconds: isAmount,
    waitedMilliseconds: isAmount,
    cause: createOptional(
      createObject({ usage: isText, limits: createOptional(isText) }),
    ),
  }),
  [MessageKind.AttemptAnswering]: createObject({
    entry: isText,
    report: createOptional(isReport),
  }),
  [MessageKind.AttemptEnded]: createObject({
    entry: isText,
    outcome: isText,
    isConnectionRefused: isFlag,
    firstByteMilliseconds: createOptional(isAmount),
    longestPauseMilliseconds: isAmount,
    report: createOptional(isReport),
  }),
  [MessageKind.MemberSync]: createObject({
    sequence: isAmount,
    waiting: createList(isText),
    running: createList(createObject({ entry: isText, endpoint: isText })),
    schedulersDigest: isText,
    zoneDigest: isText,
  }),
  [MessageKind.MemberSyncReply]: createObject({
    sequence: isAmount,
    isScheduler: isFlag,
    fleetVms: isAmount,
    tables: createList(isNamedTableAge),
    schedulers: createOptional(createList(isContact)),
    rollouts: createOptional(createList(isBytes)),
  }),
};

/** Whether a message of a known kind has the fields that its kind requires. */
export function hasValidFields(
  message: { kind: MessageKind } & Record<string, unknown>,
): boolean {
  return CHECKS[message.kind]?.(message) ?? true;
}
