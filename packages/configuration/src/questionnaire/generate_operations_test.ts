import { expect } from "chai";
import { describe, it } from "mocha";
import { parse } from "yaml";
import { applyChange } from "../apply_change.ts";
import { OperationKind } from "../change.ts";
import { describeOperation } from "../describe_operation.ts";
import { createEmptyConfiguration, type FleetConfiguration } from "../model.ts";
import {
  createEndpoint,
  createPutEndpoint,
  createPutZone,
  createZone,
} from "../testing/fixtures.ts";
import type { Operation } from "../change.ts";
import { DifferenceReason } from "./difference.ts";
import { generateOperations } from "./generate_operations.ts";
import { type Questionnaire, questionnaireSchema } from "./questionnaire.ts";
import { renderQuestionnaire } from "./questionnaire_form.ts";

/** The answers of the empty form, changed. */
function createAnswers(
  change: (answers: Questionnaire) => void = () => {},
): Questionnaire {
  const answers = questionnaireSchema.parse(parse(renderQuestionnaire()));
  change(answers);
  return answers;
}

function applyTo(
  configuration: FleetConfiguration,
  operations: Operation[],
): FleetConfiguration {
  const version = configuration.version + 1;
  return applyChange(configuration, { version, operations })._unsafeUnwrap();
}

/** The configuration after the form has been generated and applied once. */
function createConfigured(): FleetConfiguration {
  const answers = createAnswers();
  const current = createEmptyConfiguration();
  const { operations } = generateOperations(
    [{ answers, previous: undefined }],
    current,
  );
  return applyTo(current, operations);
}

function generate(answers: Questionnaire, current: FleetConfiguration) {
  const previous = createAnswers();
  return generateOperations([{ answers, previous }], current);
}

describe("generateOperations", () => {
  it("makes a whole configuration of the form as it is", () => {
    const fleet = createConfigured();
    expect([...fleet.zones.keys()]).to.deep.equal(["zone-a"]);
    expect([...fleet.endpoints.keys()])
      .to.deep.equal(["captions-a1", "printing-a1"]);
    expect(fleet.services.get("printing")?.repeatRules).to.deep.equal([
      { method: "POST", pathPrefix: "/print", repeatable: false },
    ]);
    expect(fleet.organisations.get("example-bakery")?.services)
      .to.deep.equal(["captions", "printing"]);
  });

  it("gives the same when it runs twice, and nothing once applied", () => {
    const answers = createAnswers();
    const empty = createEmptyConfiguration();
    const runs = [1, 2].map(() =>
      generateOperations([{ answers, previous: undefined }], empty)
    );
    expect(runs[0]).to.deep.equal(runs[1]);
    expect(generate(answers, createConfigured()))
      .to.deep.equal({ operations: [], differences: [] });
  });

  it("puts only what has changed in the answers", () => {
    const answers = createAnswers((changed) => {
      changed.services[0]!.endpoints[0]!.coldLimit = 3;
    });
    const generated = generate(answers, createConfigured());
    expect(generated.operations.map(describeOperation))
      .to.deep.equal(['put endpoint "captions-a1"']);
    expect(generated.differences).to.deep.equal([]);
  });

  it("shows what was changed by hand and leaves it", () => {
    const current = applyTo(createConfigured(), [
      createPutEndpoint(createEndpoint("captions-a1", {
        url: "http://10.0.0.11:8000",
        coldLimit: 9,
      })),
    ]);
    const answers = createAnswers((changed) => {
      changed.services[0]!.endpoints[0]!.limitCeiling = 32;
    });
    const generated = generate(answers, current);
    expect(generated.differences).to.deep.equal([{
      reason: DifferenceReason.ChangedByHand,
      subject: 'endpoint "captions-a1"',
      field: "coldLimit",
      answered: 2,
      configured: 9,
    }]);
    const after = applyTo(current, generated.operations);
    expect(after.endpoints.get("captions-a1")).to.include({
      coldLimit: 9,
      limitCeiling: 32,
    });
  });

  it("leaves a field that changed on both sides", () => {
    const current = applyTo(createConfigured(), [
      createPutEndpoint(createEndpoint("captions-a1", {
        url: "http://10.0.0.11:8000",
        coldLimit: 9,
      })),
    ]);
    const answers = createAnswers((changed) => {
      changed.services[0]!.endpoints[0]!.coldLimit = 4;
    });
    const generated = generate(answers, current);
    expect(generated.operations).to.deep.equal([]);
    expect(generated.differences[0]).to.include({
      reason: DifferenceReason.ChangedOnBothSides,
      answered: 4,
      configured: 9,
    });
  });

  it("does not undo a drain, and does not call it a difference", () => {
    const current = applyTo(createConfigured(), [
      createPutZone(createZone("zone-a", { drained: true })),
    ]);
    expect(generate(createAnswers(), current))
      .to.deep.equal({ operations: [], differences: [] });
  });

  it("does not bring back what was removed by hand", () => {
    const current = applyTo(createConfigured(), [
      { kind: OperationKind.RemoveEndpoint, name: "printing-a1" },
    ]);
    const generated = generate(createAnswers(), current);
    expect(generated.operations).to.deep.equal([]);
    expect(generated.differences[0]).to.include({
      reason: DifferenceReason.RemovedByHand,
      subject: 'endpoint "printing-a1"',
    });
  });

  it("removes what was dropped from the form, unless changed by hand", () => {
    const answers = createAnswers((changed) => {
      changed.services.pop();
    });
    const generated = generate(answers, createConfigured());
    expect(generated.operations.map(describeOperation).sort()).to.deep.equal([
      'put organisation "example-bakery"',
      'remove endpoint "printing-a1"',
      'remove service "printing"',
    ]);
    const current = applyTo(createConfigured(), [
      createPutEndpoint(createEndpoint("printing-a1", { service: "printing" })),
    ]);
    const kept = generate(answers, current);
    expect(kept.differences[0]).to.include({
      reason: DifferenceReason.DroppedButChanged,
      subject: 'endpoint "printing-a1"',
    });
  });

  it("does not overwrite another team's part", () => {
    const second = createAnswers((changed) => {
      changed.organisation.name = "second-bakery";
      changed.zones[0]!.region = "elsewhere";
    });
    const generated = generateOperations([
      { answers: createAnswers(), previous: undefined },
      { answers: second, previous: undefined },
    ], createEmptyConfiguration());
    expect(generated.differences).to.deep.equal([{
      reason: DifferenceReason.ExistedBefore,
      subject: 'zone "zone-a"',
      field: "region",
      answered: "elsewhere",
      configured: "region-1",
    }]);
    expect(generated.operations.map(describeOperation))
      .to.include('put organisation "second-bakery"');
  });
});
