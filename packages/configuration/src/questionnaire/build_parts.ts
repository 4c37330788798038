/** Converts a team's answers to parts of a configuration. */

import { type Operation, OperationKind } from "../change.ts";
import {
  type Endpoint,
  type Organisation,
  type Service,
  ServiceKind,
} from "../model.ts";
import type { Questionnaire } from "./questionnaire.ts";

const TYPICAL_COST: Record<ServiceKind, number> = {
  [ServiceKind.Model]: 500,
  [ServiceKind.Plain]: 1,
};

type AnsweredService = Questionnaire["services"][number];

/** Builds the operations that configure all parts in a team's answers. */
export function buildParts(questionnaire: Questionnaire): Operation[] {
  const { services, zones } = questionnaire;
  return [
    ...zones.map((zone): Operation => ({
      kind: OperationKind.PutZone,
      zone: { ...zone, drained: false },
    })),
    ...services.map((service): Operation => ({
      kind: OperationKind.PutService,
      service: buildService(service),
    })),
    ...services.flatMap(buildEndpoints).map((endpoint): Operation => ({
      kind: OperationKind.PutEndpoint,
      endpoint,
    })),
    {
      kind: OperationKind.PutOrganisation,
      organisation: buildOrganisation(questionnaire),
    },
  ];
}

function buildOrganisation(questionnaire: Questionnaire): Organisation {
  const { organisation, services, uses } = questionnaire;
  const names = [...uses, ...services.map((service) => service.name)];
  return {
    name: organisation.name,
    weight: organisation.shareWeight,
    keyHashes: organisation.keyHashes,
    services: [...new Set(names)],
    queueLimit: organisation.waitingRequests,
  };
}

function buildService(service: AnsweredService): Service {
  const { kind, name, notRepeatable, typicalCost } = service;
  const repeatRules = notRepeatable.map((call) => {
    const [method = "*", pathPrefix = "/"] = call.split(" ");
    return { method, pathPrefix, repeatable: false };
  });
  const initialCostEstimate = typicalCost ?? TYPICAL_COST[kind];
  return { name, kind, repeatRules, initialCostEstimate };
}

function buildEndpoints(service: AnsweredService): Endpoint[] {
  return service.endpoints.map((endpoint) => ({
    ...endpoint,
    service: service.name,
    drained: false,
  }));
}
