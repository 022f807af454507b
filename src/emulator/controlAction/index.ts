import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { parseAddress } from "../../ports/index.js";
import { offerSchema } from "../../protocol/index.js";
import { EmulatedEngine } from "../emulatedEngine/index.js";
import { EmulatedService } from "../emulatedService/index.js";
import { Emulator } from "../emulator/index.js";
import { KeyWatch } from "../keyWatch/index.js";

const SIMPLE_UPSTREAM_ACTIONS = ["crash", "restart", "leave", "stop", "freeze", "thaw", "mute", "unmute"] as const;
const countSchema = z.int().min(0);
const engineFaultSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.enum(["cut", "silent", "unfinished"]), afterTokens: countSchema }),
    z.strictObject({ kind: z.literal("late"), delayMs: z.number() }),
    z.strictObject({ kind: z.literal("crossed"), id: z.string() }),
    z.strictObject({ kind: z.literal("refused"), status: z.int() }),
]);
const serviceFaultSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("late"), delayMs: z.number() }),
    z.strictObject({ kind: z.enum(["lost", "silent"]) }),
    z.strictObject({ kind: z.literal("crossed"), id: z.string() }),
    z.strictObject({ kind: z.enum(["failed", "refused"]), status: z.int() }),
]);
const platformFaultSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("lost") }),
    z.strictObject({ kind: z.enum(["late", "held"]), delayMs: z.number() }),
    z.strictObject({ kind: z.literal("busy"), retryAfterSeconds: countSchema }),
]);

/** Action on the emulated upstreams and platform: the body of `POST /do`. */
export const controlActionSchema = z.discriminatedUnion("action", [
    z.strictObject({ action: z.enum(SIMPLE_UPSTREAM_ACTIONS), upstream: z.string() }),
    z.strictObject({ action: z.literal("slow"), upstream: z.string(), factor: z.number().positive() }),
    z.strictObject({ action: z.literal("limit"), upstream: z.string(), perSecond: z.number().min(0).optional() }),
    z.strictObject({ action: z.literal("turn-away"), upstream: z.string(), retryAfter: z.string().optional() }),
    z.strictObject({ action: z.literal("state-departure"), upstream: z.string() }),
    z.strictObject({ action: z.literal("engine-faults"), upstream: z.string(), faults: z.array(engineFaultSchema) }),
    z.strictObject({ action: z.literal("service-faults"), upstream: z.string(), faults: z.array(serviceFaultSchema) }),
    z.strictObject({ action: z.literal("platform-faults"), faults: z.array(platformFaultSchema) }),
    z.strictObject({ action: z.literal("reclaim-zone"), zone: z.string(), noticeMs: z.number().min(0) }),
    z.strictObject({ action: z.literal("set-offers"), offers: z.array(offerSchema) }),
    z.strictObject({ action: z.literal("set-entries"), entries: z.array(z.string()) }),
    z.strictObject({ action: z.literal("watch-keys"), keys: z.array(z.string()) }),
]);
export type ControlAction = z.infer<typeof controlActionSchema>;

type UpstreamAction = Extract<ControlAction, { upstream: string; }>;
type EmulatorAction = Exclude<ControlAction, UpstreamAction>;

/** The action names an unknown upstream, or doesn't apply to its kind. */
export class ActionError extends Error {
    /** @param reason - Error code. */
    constructor(readonly reason: "no-upstream" | "wrong-kind", detail: string) {
        super(`${reason}: ${detail}`);
    }
}

/**
 * Applies one action to the emulated upstreams and platform. It takes effect immediately; what it starts, such as a restart,
 * continues in the background.
 *
 * @param emulator - Emulator to act on.
 * @param keyWatch - Receives the keys of `watch-keys`.
 * @param action - Action to apply.
 * @example
 * applyAction(emulator, keyWatch, { action: "crash", upstream: "draft-vogar-4" });
 */
export function applyAction(
    emulator: Emulator,
    keyWatch: KeyWatch,
    action: ControlAction,
): Either<ActionError, void> {
    if (!("upstream" in action)) return Right(applyToEmulator(emulator, keyWatch, action));
    const upstream = emulator.find(action.upstream);
    if (!upstream) return Left(new ActionError("no-upstream", action.upstream));
    if (action.action === "restart") return Right(void emulator.restart(action.upstream));
    return upstream instanceof EmulatedEngine ? applyToEngine(upstream, action) : applyToService(upstream, action);
}

function applyToEmulator(emulator: Emulator, keyWatch: KeyWatch, action: EmulatorAction): void {
    switch (action.action) {
        case "platform-faults":
            return emulator.platform.addFaults(...action.faults);
        case "reclaim-zone":
            return emulator.platform.orders.reclaimZone(action.zone, action.noticeMs);
        case "set-offers":
            return emulator.platform.orders.setOffers(action.offers);
        case "set-entries":
            return emulator.setEntries(action.entries.flatMap(text => parseAddress(text) ?? []));
        case "watch-keys":
            for (const key of action.keys) keyWatch.add(key);
    }
}

function applyToEngine(engine: EmulatedEngine, action: UpstreamAction): Either<ActionError, void> {
    switch (action.action) {
        case "freeze":
        case "thaw":
            return Right(engine.setFrozen(action.action === "freeze"));
        case "slow":
            return Right(engine.setSlowdown(action.factor));
        case "engine-faults":
            return Right(engine.faults.add(...action.faults));
        default:
            return applyToUpstream(engine, action);
    }
}

function applyToService(service: EmulatedService, action: UpstreamAction): Either<ActionError, void> {
    return action.action === "service-faults"
        ? Right(service.addFaults(...action.faults))
        : applyToUpstream(service, action);
}

function applyToUpstream(
    upstream: EmulatedEngine | EmulatedService,
    action: UpstreamAction,
): Either<ActionError, void> {
    switch (action.action) {
        case "crash":
            return Right(void upstream.crash());
        case "leave":
            return Right(upstream.leave());
        case "stop":
            return Right(void upstream.stop());
        case "mute":
        case "unmute":
            return Right(upstream.setMuted(action.action === "mute"));
        case "limit":
            return Right(upstream.advertiseRequestLimit(action.perSecond));
        case "turn-away":
            return Right(upstream.turnAway(action.retryAfter));
        case "state-departure":
            return Right(upstream.stateDeparture());
        default:
            return Left(new ActionError("wrong-kind", `${action.action} of ${action.upstream}`));
    }
}
