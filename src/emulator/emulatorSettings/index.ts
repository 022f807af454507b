import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { Address, parseAddress } from "../../ports/index.js";
import { DEFAULT_ANNOUNCER } from "../announcer/index.js";
import { DEFAULT_ENGINE_PACE } from "../batch/index.js";

/** Settings that the emulator can't use. */
export class SettingsError extends Error {}

/** Items with commas between; a flag given twice adds to the list. */
const listSchema = z.union([z.string(), z.array(z.string())]).transform(value => {
    const items = [value].flat().flatMap(text => text.split(",")).map(item => item.trim()).filter(Boolean);
    return [...new Set(items)];
});
const addressesSchema = listSchema.transform((items, ctx): Address[] =>
    items.flatMap(item => {
        const address = parseAddress(item);
        if (!address) ctx.addIssue({ code: "custom", message: `"${item}" is not IP:port` });
        return address ? [address] : [];
    })
);
const switchSchema = z.preprocess(value => value === "true" ? true : value === "false" ? false : value, z.boolean());
const portSchema = z.coerce.number().int().min(0).max(65_535);
const timeSchema = z.coerce.number().min(0);
const countSchema = z.coerce.number().int().min(0);

/** What the program `emulator` runs; each name is a flag and a name in the INI section `[emulator]`. */
export const emulatorSettingsSchema = z.strictObject({
    engines: countSchema.default(4),
    services: countSchema.default(2),
    /** The model that the engines serve, and the service's name. */
    pool: z.coerce.string().min(1).default("draft"),
    service: z.coerce.string().min(1).default("orders"),
    /** The upstreams take the zones in turn. */
    zones: listSchema.refine(zones => zones.length > 0).default(["keflavik"]),
    /** Upstreams that run from the first in these zones are reclaimable. */
    reclaimableZones: listSchema.default([]),
    host: z.string().default("127.0.0.1"),
    /** Ports; 0 means any free one. */
    platformPort: portSchema.default(0),
    controlPort: portSchema.default(0),
    entries: addressesSchema.default([]),
    seed: z.coerce.number().int().default(1),

    slots: z.coerce.number().int().min(1).default(DEFAULT_ENGINE_PACE.slots),
    stepMs: timeSchema.default(DEFAULT_ENGINE_PACE.stepMs),
    stepMsPerRequest: timeSchema.default(DEFAULT_ENGINE_PACE.stepMsPerRequest),
    prefillMsPerToken: timeSchema.default(DEFAULT_ENGINE_PACE.prefillMsPerToken),
    prefillTokensPerStep: countSchema.default(DEFAULT_ENGINE_PACE.prefillTokensPerStep),
    cacheBlocks: countSchema.default(2_048),
    meanTokens: z.coerce.number().min(1).default(60),
    serviceSlots: z.coerce.number().int().min(1).default(16),
    serviceMinMs: timeSchema.default(5),
    serviceMaxMs: timeSchema.default(20),

    spread: z.enum(["all", "one"]).default(DEFAULT_ANNOUNCER.spread),
    announceMs: z.coerce.number().min(1).default(DEFAULT_ANNOUNCER.intervalMs),
    loadLagMs: timeSchema.default(DEFAULT_ANNOUNCER.loadLagMs),
    cacheLagMs: timeSchema.default(DEFAULT_ANNOUNCER.cacheLagMs),
    cacheLoss: z.coerce.number().min(0).max(1).default(DEFAULT_ANNOUNCER.cacheLoss),

    /** Whether upstreams and the platform refuse orders with an old fencing token. */
    checksFence: switchSchema.default(true),
    platformChecksFence: switchSchema.default(true),
    /** Micro-credits for an hour of an upstream that is not reclaimable, and of one that is. */
    price: z.coerce.number().min(0).default(2_000_000),
    reclaimablePrice: z.coerce.number().min(0).default(600_000),
    /** How many further engines of each kind can be ordered in each zone. */
    available: countSchema.default(4),
    startMs: timeSchema.default(5_000),
    billedMinimumMs: timeSchema.default(60_000),
    weightRate: z.coerce.number().positive().default(2),
    weightBurst: z.coerce.number().min(1).default(2),
});
export type EmulatorSettings = z.infer<typeof emulatorSettingsSchema>;

/** The settings used where none are given. */
export const DEFAULT_EMULATOR_SETTINGS = emulatorSettingsSchema.parse({});

/**
 * Checks settings that came as text.
 *
 * @param values - Names with values, as flags or an INI section give them.
 * @returns The settings, or which name is wrong and why.
 * @example
 * readEmulatorSettings({ engines: "8", zones: "sohar,barka,muscat" });
 */
export function readEmulatorSettings(
    values: Readonly<Record<string, unknown>>,
): Either<SettingsError, EmulatorSettings> {
    const parsed = emulatorSettingsSchema.safeParse(values);
    if (parsed.success) return Right(parsed.data);
    const [issue] = parsed.error.issues;
    const name = issue.path.length > 0 ? issue.path.join(".") : "settings";
    return Left(new SettingsError(`${name}: ${issue.message}`));
}
