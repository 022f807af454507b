import { PoolId, UpstreamId } from "../../../ids/index.js";
import { SeededRandom, VirtualClock } from "../../../ports/index.js";
import { CallerFake } from "../callerFake/index.js";
import { DemandMeter } from "../demandMeter/index.js";
import { Deployment } from "../deployment/index.js";
import { EngineFake } from "../engineFake/index.js";
import { Fleet } from "../fleet/index.js";
import { InversionCounter } from "../inversionCounter/index.js";
import { PlatformFake } from "../platformFake/index.js";
import { PolicySet } from "../policySet/index.js";
import { Scenario, ScenarioEvent } from "../scenario/index.js";
import { Score, scoreRun } from "../score/index.js";
import { planTraffic } from "../traffic/index.js";

/** Seed of the figures in the baseline file. */
export const DEFAULT_SEED = 20_261_202;
const PURCHASE_INTERVAL_MS = 1_000;
/** Time in which the first announcements reach all entries before the first request. */
const WARM_UP_MS = 20;
/** Maximum time for the last answers to end after the scenario. */
const DRAIN_TIMEOUT_MS = 60_000;
/** Interval at which the run checks whether all answers have ended. */
const DRAIN_STEP_MS = 500;

/** Simulates one scenario with one policy set in virtual time. Equal arguments give exactly equal figures. */
export async function runScenario(
    deployment: Deployment,
    scenario: Scenario,
    policySet: PolicySet,
    seed: number = DEFAULT_SEED,
): Promise<Score> {
    const clock = new VirtualClock();
    const requests = planTraffic(deployment, scenario, new SeededRandom(seed));
    const inversionCounter = new InversionCounter();
    const random = new SeededRandom(seed + 1);
    const fleet = new Fleet({ clock, random, deployment, policySet, observer: inversionCounter });
    const engines = new Map<UpstreamId, EngineFake>();
    const platform = new PlatformFake(clock, deployment, scenario, engine => {
        engines.set(engine.profile.id as UpstreamId, engine);
        fleet.startAnnouncements(engine);
    });
    const callers = new CallerFake({ clock, deployment, policySet, fleet, findEngine: id => engines.get(id) });
    const meter = new DemandMeter(deployment, requests);
    const purchase = policySet.createPurchase(deployment);
    const planPurchases = (demand: ReturnType<DemandMeter["steady"]>): ReturnType<typeof purchase.plan> => {
        const { owned, pendingStarts: pending } = platform;
        return purchase.plan({ now: clock.now(), demand, owned, pending, offers: platform.offers() });
    };
    // Only the second plan knows the slots of each pool's engines, from those that the first one started.
    platform.placeOrders(planPurchases(meter.steady()), true);
    platform.placeOrders(planPurchases(meter.steady()), true);
    await clock.advance(WARM_UP_MS);
    for (const request of requests) clock.after(request.atMs - WARM_UP_MS, () => void callers.simulate(request));
    for (const event of scenario.events) {
        clock.after(event.atMs, () => applyEvent(event, deployment, fleet, platform));
    }
    for (let atMs = PURCHASE_INTERVAL_MS; atMs < scenario.durationMs; atMs += PURCHASE_INTERVAL_MS) {
        clock.after(atMs, () => platform.placeOrders(planPurchases(meter.forecast(atMs))));
    }
    await clock.advance(scenario.durationMs);
    const bill = platform.bill();
    for (let drainedMs = 0; drainedMs < DRAIN_TIMEOUT_MS && callers.hasOpenRequests; drainedMs += DRAIN_STEP_MS) {
        await clock.advance(DRAIN_STEP_MS);
    }
    fleet.close();
    return scoreRun({
        deployment,
        scenario: scenario.name,
        policySet: policySet.name,
        records: callers.records,
        engines: platform.engines,
        bill,
        inversions: inversionCounter.tally.passedOver + inversionCounter.tally.preempted,
        preemptions: inversionCounter.preemptions,
    });
}

function applyEvent(event: ScenarioEvent, deployment: Deployment, fleet: Fleet, platform: PlatformFake): void {
    const pool = deployment.classes.find(profile => profile.name === deployment.burstClass)!.pool;
    const engines = platform.engines.filter(engine => engine.profile.pool === pool && engine.isAlive);
    switch (event.kind) {
        case "straggler":
            engines[0].slowdownFactor = event.slowdownFactor;
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

/** Returns the zone with the most reclaimable engines, whose reclaim has the largest effect. */
function findFullestZone(engines: readonly EngineFake[]): string {
    const counts = new Map<string, number>();
    for (const { profile } of engines) {
        if (profile.reclaimable) counts.set(profile.zone, (counts.get(profile.zone) ?? 0) + 1);
    }
    const fullest = [...counts].sort((a, b) => b[1] - a[1] || (a[0] < b[0] ? -1 : 1))[0];
    return fullest?.[0] ?? engines[0].profile.zone;
}
