import { PoolId, UpstreamId } from "../../../ids/index.js";
import { SeededRandom, VirtualClock } from "../../../ports/index.js";
import { CallerFake } from "../caller/index.js";
import { DemandMeter } from "../demandMeter/index.js";
import { Deployment } from "../deployment/index.js";
import { EngineFake } from "../engineFake/index.js";
import { Fleet } from "../fleet/index.js";
import { InversionWatch } from "../inversions/index.js";
import { PlatformFake } from "../platformFake/index.js";
import { PolicySet } from "../policySet/index.js";
import { Scenario, ScenarioEvent } from "../scenario/index.js";
import { Score, scoreRun } from "../score/index.js";
import { planTraffic } from "../traffic/index.js";

/** The seed of the guarded figures. */
export const DEFAULT_SEED = 20_261_202;
const PURCHASE_EVERY_MS = 1_000;
/** Time for the announcements to spread before the first request, in milliseconds. */
const WARM_UP_MS = 20;
/** The most time that the last answers get to end, and how often it is looked whether they have, in milliseconds. */
const DRAIN_MS = 60_000;
const DRAIN_STEP_MS = 500;

/** Puts one policy set through one scenario in virtual time. The same arguments give the same figures to the digit. */
export async function runScenario(
    deployment: Deployment,
    scenario: Scenario,
    policySet: PolicySet,
    seed: number = DEFAULT_SEED,
): Promise<Score> {
    const clock = new VirtualClock();
    const requests = planTraffic(deployment, scenario, new SeededRandom(seed));
    const watch = new InversionWatch();
    const random = new SeededRandom(seed + 1);
    const fleet = new Fleet({ clock, random, deployment, policySet, observer: watch });
    const engines = new Map<UpstreamId, EngineFake>();
    const platform = new PlatformFake(clock, deployment, scenario, engine => {
        engines.set(engine.shape.id as UpstreamId, engine);
        fleet.follow(engine);
    });
    const caller = new CallerFake({ clock, deployment, policySet, fleet, findEngine: id => engines.get(id) });
    const meter = new DemandMeter(deployment, requests);
    const purchase = policySet.createPurchase(deployment);
    const plan = (demand: ReturnType<DemandMeter["steady"]>): ReturnType<typeof purchase.plan> => {
        const { owned, pendingStarts: pending } = platform;
        return purchase.plan({ now: clock.now(), demand, owned, pending, offers: platform.offers() });
    };
    // The second plan knows the size of each pool's engines.
    platform.place(plan(meter.steady()), true);
    platform.place(plan(meter.steady()), true);
    await clock.advance(WARM_UP_MS);
    for (const request of requests) clock.after(request.atMs - WARM_UP_MS, () => void caller.make(request));
    for (const event of scenario.events) {
        clock.after(event.atMs, () => play(event, deployment, fleet, platform));
    }
    for (let atMs = PURCHASE_EVERY_MS; atMs < scenario.durationMs; atMs += PURCHASE_EVERY_MS) {
        clock.after(atMs, () => platform.place(plan(meter.forecast(atMs))));
    }
    await clock.advance(scenario.durationMs);
    const bill = platform.bill();
    for (let drainedMs = 0; drainedMs < DRAIN_MS && caller.hasOpen; drainedMs += DRAIN_STEP_MS) {
        await clock.advance(DRAIN_STEP_MS);
    }
    fleet.close();
    return scoreRun({
        deployment,
        scenario: scenario.name,
        policySet: policySet.name,
        records: caller.records,
        engines: platform.engines,
        bill,
        inversions: watch.tally.passedOver + watch.tally.preempted,
        preemptions: watch.preemptions,
    });
}

function play(event: ScenarioEvent, deployment: Deployment, fleet: Fleet, platform: PlatformFake): void {
    const pool = deployment.classes.find(shape => shape.name === deployment.burstClass)!.pool;
    const engines = platform.engines.filter(engine => engine.shape.pool === pool && engine.isAlive);
    switch (event.kind) {
        case "straggler":
            engines[0].slowness = event.slowness;
            break;
        case "crash":
            for (const engine of engines.slice(0, event.engines)) engine.crash();
            break;
        case "reclaim":
            platform.reclaim(findFullestZone(engines), event.noticeMs);
            break;
        case "owner-lost":
            fleet.crashOwner(pool as PoolId);
            break;
    }
}

/** The zone whose reclaim hurts most. */
function findFullestZone(engines: readonly EngineFake[]): string {
    const counts = new Map<string, number>();
    for (const { shape } of engines) {
        if (shape.reclaimable) counts.set(shape.zone, (counts.get(shape.zone) ?? 0) + 1);
    }
    const fullest = [...counts].sort((a, b) => b[1] - a[1] || (a[0] < b[0] ? -1 : 1))[0];
    return fullest?.[0] ?? engines[0].shape.zone;
}
