import { EndpointErrorKind } from "@rattanvane/platform";
import { AttemptOutcome, MessageKind } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import type { CallerError } from "../caller/caller_error.ts";
import type { IngressMetrics } from "../metrics/ingress_metrics.ts";
import {
  createEntry,
  createEnvironment,
  createGrant,
  createIngress,
  SCHEDULER,
} from "../testing/fixtures.ts";
import {
  formatEnd,
  formatToken,
  type ScriptedAnswer,
  ScriptedEndpoint,
} from "../testing/scripted_endpoint.ts";
import {
  CompletionForm,
  parseCompletionRequest,
} from "./completion_request.ts";
import { CompletionRun } from "./completion_run.ts";
import { CompletionSink } from "./completion_sink.ts";

const BODY = JSON.stringify({ model: "assistant", prompt: "a", stream: true });
const MOST_GRANTS = 40;

/** Collects what the caller would see. */
class CollectingSink extends CompletionSink {
  text = "";
  finished = false;
  error: CallerError | undefined;

  override startAttempt(): void {}

  override writeText(text: string): Promise<void> {
    this.text += text;
    return Promise.resolve();
  }

  override finish(): Promise<void> {
    this.finished = true;
    return Promise.resolve();
  }

  override fail(error: CallerError): Promise<void> {
    this.error = error;
    return Promise.resolve();
  }
}

interface RunResult {
  sink: CollectingSink;
  endpoint: ScriptedEndpoint;
  outcomes: AttemptOutcome[];
  metrics: IngressMetrics;
}

/** Runs a completion against a script, granting whatever it asks for. */
async function runScript(
  answers: ScriptedAnswer[],
  resumes: ScriptedAnswer[] = [],
): Promise<RunResult> {
  const ingress = createIngress();
  const endpoint = new ScriptedEndpoint(answers, resumes);
  const sink = new CollectingSink();
  const entry = createEntry(ingress, { body: BODY });
  const environment = createEnvironment(ingress, endpoint);
  const run = new CompletionRun({
    environment,
    entry,
    request: parseCompletionRequest(CompletionForm.Text, entry.call.body),
    sink,
  });
  const done = run.run(new AbortController().signal);
  for (let grant = 1; grant <= MOST_GRANTS; grant++) {
    ingress.dispatcher.handle(
      SCHEDULER,
      createGrant({ attempt: `attempt-${grant}`, endpoint: `engine-${grant}` }),
    );
    await ingress.clock.advance(1);
  }
  await done;
  const outcomes = ingress.sender.list(MessageKind.Finish)
    .map((message) => message.outcome);
  return { sink, endpoint, outcomes, metrics: environment.metrics };
}

const WHOLE = [formatToken(1, "one"), formatToken(2, " two"), formatEnd(2)];

describe("CompletionRun", () => {
  const cases: {
    title: string;
    answers: ScriptedAnswer[];
    resumes?: ScriptedAnswer[];
    sent: number;
  }[] = [
    { title: "a whole stream", answers: [{ parts: WHOLE }], sent: 1 },
    {
      title: "an endpoint that can't be reached",
      answers: [{ error: EndpointErrorKind.NotSent }, { parts: WHOLE }],
      sent: 2,
    },
    {
      title: "a crossed answer",
      answers: [{ error: EndpointErrorKind.CrossedAnswer }, { parts: WHOLE }],
      sent: 2,
    },
    {
      title: "a server error",
      answers: [{ status: 500, parts: ["broken"] }, { parts: WHOLE }],
      sent: 2,
    },
    {
      title: "doubled events",
      answers: [{
        parts: [WHOLE[0] ?? "", WHOLE[0] ?? "", ...WHOLE.slice(1)],
      }],
      sent: 1,
    },
    {
      title: "a break, resumed at its offset",
      answers: [{ parts: WHOLE.slice(0, 1), breaks: true }],
      resumes: [{ parts: WHOLE.slice(1) }],
      sent: 1,
    },
    {
      title: "an end without its mark, resumed",
      answers: [{ parts: WHOLE.slice(0, 1) }],
      resumes: [{ parts: WHOLE.slice(1) }],
      sent: 1,
    },
    {
      title: "a dead engine, continued on another",
      answers: [
        { parts: WHOLE.slice(0, 1), breaks: true },
        { parts: WHOLE.slice(1) },
      ],
      sent: 2,
    },
  ];
  for (const { title, answers, resumes, sent } of cases) {
    it(`gives the whole answer after ${title}`, async () => {
      const { sink, endpoint, outcomes } = await runScript(answers, resumes);
      expect(sink.error).to.equal(undefined);
      expect(sink.text).to.equal("one two");
      expect(sink.finished).to.equal(true);
      expect(endpoint.requests).to.have.length(sent);
      expect(outcomes.at(-1)).to.equal(AttemptOutcome.Completed);
    });
  }

  it("continues behind the text that was delivered", async () => {
    const { endpoint } = await runScript([
      { parts: WHOLE.slice(0, 1), breaks: true },
      { parts: WHOLE.slice(1) },
    ]);
    const body = endpoint.requests[1]?.body ?? new Uint8Array();
    const sent = JSON.parse(new TextDecoder().decode(body));
    expect(sent.continue_from).to.equal("one");
    expect(endpoint.resumedOffsets).to.deep.equal([1]);
  });

  it("ends with an error when no engine completes the stream", async () => {
    const broken = { parts: WHOLE.slice(0, 1), breaks: true };
    const { sink, metrics } = await runScript(
      Array(MOST_GRANTS).fill(broken),
    );
    expect(sink.finished).to.equal(false);
    expect(sink.error?.outcome).to.equal("unknown");
    const errors = await metrics.callerErrors.get();
    expect(errors.values.map(({ labels, value }) => [labels.kind, value]))
      .to.deep.equal([[sink.error?.kind, 1]]);
    const retries = await metrics.retries.get();
    expect(retries.values[0]?.value).to.be.greaterThan(0);
  });

  it("passes an engine's refusal of the request on", async () => {
    const { sink, endpoint } = await runScript([
      { status: 400, parts: ["too many tokens"] },
    ]);
    expect(endpoint.requests).to.have.length(1);
    expect(sink.error?.message).to.contain("too many tokens");
    expect(sink.error?.outcome).to.equal("unknown");
  });
});
