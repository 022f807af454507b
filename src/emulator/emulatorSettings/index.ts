import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { Address, parseAddress } from "../../ports/index.js";
import { DEFAULT_ANNOUNCER_CONFIG } from "../announcer/index.js";
import { DEFAULT_ENGINE_TIMING } from "../batch/index.js";
import { DEFAULT_SOFTWARE } from "../upstreamState/index.js";

/** Invalid settings of the emulator. */
export class SettingsError extends Error {}

/** Comma-separated list without duplicates; a repeated flag adds its items. */
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
const booleanSchema = z.preprocess(value => value === "true" ? true : value === "false" ? false : value, z.boolean());
const portSchema = z.coerce.number().int().min(0).max(65_535);
const millisecondsSchema = z.coerce.number().min(0);
const countSchema = z.coerce.number().int().min(0);

/** Settings of the program `emulator`; each name is a flag and a key of the INI section `[emulator]`. */
export const emulatorSettingsSchema = z.strictObject({
    /** Number of engines that run from the start. */
    engines: countSchema.default(4),
    /** Number of service instances that run from the start. */
    services: countSchema.default(2),
    /** Model that the engines serve. */
    pool: z.coerce.string().min(1).default("draft"),
    /** Name of the plain service. */
    service: z.coerce.string().min(1).default("orders"),
    /** Availability zones; the upstreams are assigned to them in turn. */
    zones: listSchema.refine(zones => zones.length > 0).default(["keflavik"]),
    /** Zones in which the engines that run from the start are reclaimable. */
    reclaimableZones: listSchema.default([]),
    /** Versions of the software; the upstreams are assigned to them in turn. */
    software: listSchema.refine(versions => versions.length > 0).default([DEFAULT_SOFTWARE]),
    /** Address to listen on. */
    host: z.string().default("127.0.0.1"),
    /** Port of the platform's API; 0 selects any free port. */
    platformPort: portSchema.default(0),
    /** Port of the control API; 0 selects any free port. */
    controlPort: portSchema.default(0),
    /** Addresses of the entries to which the upstreams announce themselves. */
    entries: addressesSchema.default([]),
    /** Seed of the random numbers. */
    seed: z.coerce.number().int().default(1),

    // Timing of each engine; see EngineTiming.
    slots: z.coerce.number().int().min(1).default(DEFAULT_ENGINE_TIMING.slots),
    stepMs: millisecondsSchema.default(DEFAULT_ENGINE_TIMING.stepMs),
    stepMsPerRequest: millisecondsSchema.default(DEFAULT_ENGINE_TIMING.stepMsPerRequest),
    prefillMsPerToken: millisecondsSchema.default(DEFAULT_ENGINE_TIMING.prefillMsPerToken),
    prefillTokensPerStep: countSchema.default(DEFAULT_ENGINE_TIMING.prefillTokensPerStep),
    /** Capacity of an engine's prefix cache, in blocks. */
    cacheBlocks: countSchema.default(2_048),
    /** Mean length of answers without a length hint, in tokens. */
    meanTokens: z.coerce.number().min(1).default(60),
    /** Maximum number of concurrent calls per service instance. */
    serviceSlots: z.coerce.number().int().min(1).default(16),
    /** Minimum duration of a service call, in milliseconds. */
    serviceMinMs: millisecondsSchema.default(5),
    /** Maximum duration of a service call, in milliseconds. */
    serviceMaxMs: millisecondsSchema.default(20),

    // Announcements of each upstream; see AnnouncerConfig.
    spread: z.enum(["all", "one"]).default(DEFAULT_ANNOUNCER_CONFIG.spread),
    announceMs: z.coerce.number().min(1).default(DEFAULT_ANNOUNCER_CONFIG.intervalMs),
    loadLagMs: millisecondsSchema.default(DEFAULT_ANNOUNCER_CONFIG.loadLagMs),
    cacheLagMs: millisecondsSchema.default(DEFAULT_ANNOUNCER_CONFIG.cacheLagMs),
    cacheLoss: z.coerce.number().min(0).max(1).default(DEFAULT_ANNOUNCER_CONFIG.cacheLoss),

    /** Whether upstreams refuse orders with an old fencing token. */
    checksFence: booleanSchema.default(true),
    /** Whether the platform refuses orders and usage reports with an old fencing token. */
    platformChecksFence: booleanSchema.default(true),
    /** Price of an upstream that is not reclaimable, in micro-credits per hour. */
    price: z.coerce.number().min(0).default(2_000_000),
    /** Price of a reclaimable upstream, in micro-credits per hour. */
    reclaimablePrice: z.coerce.number().min(0).default(600_000),
    /** Number of further engines that can be ordered in each zone, reclaimable ones and others each. */
    available: countSchema.default(4),
    /** Time from an order to the start of the upstream, in milliseconds. */
    startMs: millisecondsSchema.default(5_000),
    /** Minimum time billed for an upstream, in milliseconds. */
    billedMinimumMs: millisecondsSchema.default(60_000),
    /** Weight fetches per second, on average. */
    weightRate: z.coerce.number().positive().default(2),
    /** Weight fetches allowed in a burst. */
    weightBurst: z.coerce.number().min(1).default(2),
});
export type EmulatorSettings = z.infer<typeof emulatorSettingsSchema>;

/** Default settings. */
export const DEFAULT_EMULATOR_SETTINGS = emulatorSettingsSchema.parse({});

/**
 * Parses and checks settings given as text.
 *
 * @param values - Values by name, from flags or an INI section.
 * @returns The settings, or an error that names the first invalid setting and the reason.
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
