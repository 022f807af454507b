import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { checkSlots, RoutedFleet, ThrowingDialect, ThrowingStep } from "../../faultInjection/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const SLOTS = 2;
const UPSTREAMS = 2;
/** More than all slots together. */
const THROWING_CALLS = 3 * SLOTS * UPSTREAMS;

describe("slots of calls that end by an error", () => {
    let fleet: RoutedFleet;

    afterEach(() => fleet.close());

    async function startFleet(throwingStep: ThrowingStep, queueHosts: boolean): Promise<void> {
        const dialect = new ThrowingDialect((request, step) => request.startsWith("throw") && step === throwingStep);
        const upstreams = Array.from({ length: UPSTREAMS }, () => ({ slots: SLOTS }));
        fleet = new RoutedFleet({ controls: 3, upstreams, dialect, queueHosts });
        await fleet.start(makeDocument({ routes: [makeRoute({ kind: "idempotent", keyless: true, attempts: 2 })] }));
    }

    function call(request: string, entry: number): Promise<number> {
        return fleet.call({ entry, request, path: "/orders/1" }).then(({ status }) => status);
    }

    for (const step of ["before-sending", "behind-answer"] as const) {
        for (const queueHosts of [false, true]) {
            const owner = queueHosts ? "a control host" : "an entry";
            it(`serve other calls, ${step}, where ${owner} owns the queue`, async () => {
                // Failure: each such call takes a slot for good, and as many of them as there are slots end the service for everybody.
                await startFleet(step, queueHosts);
                for (let number = 0; number < THROWING_CALLS; number++) {
                    assert.equal(await call(`throw-${number}`, number % 2), 500);
                }
                for (let number = 0; number < THROWING_CALLS; number++) {
                    assert.equal(await call(`plain-${number}`, number % 2), 200);
                }
                await checkSlots(fleet);
            });
        }
    }
});
