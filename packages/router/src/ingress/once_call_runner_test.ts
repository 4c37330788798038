import {
  ExecutionKind,
  type KeyedCallResult,
  KeyError,
  KeyErrorKind,
} from "@rattanvane/once";
import { expect } from "chai";
import { describe, it } from "mocha";
import { err, ok } from "neverthrow";
import { Authenticator } from "../caller/authenticator.ts";
import {
  createEntry,
  createEnvironment,
  createIngress,
} from "../testing/fixtures.ts";
import { ScriptedEndpoint } from "../testing/scripted_endpoint.ts";
import { IngressContext } from "./ingress_context.ts";
import { OnceCallRunner } from "./once_call_runner.ts";

const { Answered, NotRun, Unknown } = ExecutionKind;

const CASES: { outcome: string; result: KeyedCallResult }[] = [
  {
    outcome: "key_refused",
    result: err(new KeyError(KeyErrorKind.Expired, "key")),
  },
  {
    outcome: "answered",
    result: ok({
      execution: {
        kind: Answered,
        status: 200,
        headers: [],
        body: new Uint8Array(),
      },
      replayed: false,
    }),
  },
  {
    outcome: "not_run",
    result: ok({ execution: { kind: NotRun, reason: "no" }, replayed: false }),
  },
  {
    outcome: "unknown",
    result: ok({ execution: { kind: Unknown, reason: "?" }, replayed: false }),
  },
];

describe("OnceCallRunner", () => {
  for (const { outcome, result } of CASES) {
    it(`counts a keyed call as ${outcome}`, async () => {
      const ingress = createIngress();
      const endpoint = new ScriptedEndpoint([], []);
      const environment = createEnvironment(ingress, endpoint);
      const context = new IngressContext({
        authenticator: new Authenticator(),
        callRegistry: ingress.callRegistry,
        limits: {
          bodyBytes: 1,
          bodyTimeoutMilliseconds: 1,
          defaultDeadlineMilliseconds: 1,
          waitingRequests: 1,
        },
        clock: ingress.clock,
        findConfiguration: () => undefined,
        findRefusalKind: () => undefined,
        environment,
      });
      const calls = {
        run: () => Promise.resolve(result),
        issueKey: () => "key",
      };
      const runner = new OnceCallRunner({ context, calls });
      const { call } = createEntry(ingress);
      const { signal } = new AbortController();
      await runner.run(call, { key: "key" }, signal).catch(() => {});
      const { values } = await environment.metrics.keyedCalls.get();
      expect(values).to.deep.equal([{ value: 1, labels: { outcome } }]);
    });
  }
});
