/** The commented questionnaire template that a team fills in. */

const FORM = `\
# Questionnaire of a new team.
#
# Replace the examples by your own answers, then check the form and make a
# change out of it:
#   rattanvane configuration generate --platform URL FORM.yaml --output CHANGE.yaml
# You can change the answers later and do the same again.

# Who are you?
organisation:
  # The name under which your use is counted: lower-case letters, digits, dots
  # and hyphens.
  name: example-bakery
  # Whom do the operators write to?
  contact: kitchen@example.org
  # Your share of the capacity, compared with the others: with 2 you get twice
  # as much as a team with 1 while both have work waiting.
  shareWeight: 1
  # How many of your requests may wait for one service in one zone. Further
  # ones are refused at once.
  waitingRequests: 500
  # The SHA-256 hashes of your keys; the keys themselves never go into this
  # form. Make a key and its hash with
  #   KEY=$(openssl rand -hex 32)
  #   printf %s "$KEY" | sha256sum
  # or leave the list empty and ask an operator for a key.
  keyHashes: []

# Which services of others do you call? Their names only.
uses: []

# In which availability zones do your own endpoints run? Leave out zones that
# the fleet has already.
zones:
  - name: zone-a
    region: region-1

# Which services do you bring along? Your organisation may call all of them.
services:
  - name: captions
    # "model" for a model engine, "plain" for any other HTTP service.
    kind: model
    # What does a usual call cost: for a model, the tokens of prompt and answer
    # together; for a plain service, 1 unless calls differ much. It is only a
    # start; the fleet learns the rest.
    typicalCost: 300
    endpoints:
      - name: captions-a1
        zone: zone-a
        # Without a final slash.
        url: http://10.0.0.11:8000
        # How many requests it bears at once just after a start.
        coldLimit: 2
        # The most that it is ever sent at once.
        limitCeiling: 64
        # Whether it refuses orders that carry an old fencing number.
        checksFencing: false

  - name: printing
    kind: plain
    typicalCost: 1
    # Which calls must never run twice? A method and the start of the path.
    # Callers have to send a key with each of them. All other calls may be
    # sent again when their answer is lost.
    notRepeatable:
      - POST /print
    endpoints:
      - name: printing-a1
        zone: zone-a
        url: http://10.0.0.21:8000
        coldLimit: 4
`;

/** Renders the template; its examples are valid answers. */
export function renderQuestionnaire(): string {
  return FORM;
}
