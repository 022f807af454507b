import { Either } from "purify-ts";
import * as z from "zod";
import { CallKind, checkDocument, DEFAULT_CALLER_LIMITS, DocumentError, FleetDocument } from "../../routing/index.js";

/** The platform's kinds of calls, in the product's words. */
const KINDS: Readonly<Record<string, CallKind>> = {
    idempotent: "idempotent",
    non_idempotent: "once",
    streaming: "stream",
};
const MS_PER_SECOND = 1_000;
/** Connections to an upstream of a service that names no bound. */
const DEFAULT_CONNECTIONS = 100;

const routeSchema = z.looseObject({
    name: z.string(),
    host: z.string(),
    pathPrefix: z.string(),
    kind: z.enum(["idempotent", "non_idempotent", "streaming"]),
    timeoutMs: z.number(),
    /** The time within which an answer is on time; no timeout. */
    targetLatencyMs: z.number().default(0),
    targetGapMs: z.number().optional(),
    priority: z.int().min(0).default(0),
    service: z.string().optional(),
    weightedSplit: z.array(z.looseObject({ service: z.string(), weight: z.number() })).optional(),
    /** How many engines may be sent one attempt of a client. */
    maxAttempts: z.int().default(1),
    authExempt: z.boolean().default(false),
    resumable: z.boolean().default(false),
});

const engineSchema = z.looseObject({
    kvCapacity: z.number().default(0),
    kvBytes: z.number().default(0),
    /** Tokens that one event holds. */
    stride: z.number().default(1),
    pinMs: z.number().default(0),
    moves: z.boolean().default(false),
});

const scalingSchema = z.looseObject({
    min: z.int().default(0),
    max: z.int().default(0),
    bootS: z.number().default(0),
    spotPrice: z.number().optional(),
    zonePrices: z.record(z.string(), z.number()).default({}),
});

const serviceSchema = z.looseObject({
    name: z.string(),
    maxConnections: z.int().default(DEFAULT_CONNECTIONS),
    /** How long an engine is cold after its start. */
    coldS: z.number().min(0).default(0),
    /** What a cold engine bears, from all hosts together; 0 where engines are never cold. */
    coldPerS: z.number().min(0).default(0),
    engine: engineSchema.optional(),
    scaling: scalingSchema.optional(),
});

const limitsSchema = z.looseObject({
    maxHeaderBytes: z.int().default(DEFAULT_CALLER_LIMITS.headerBytes),
    maxBodyBytes: z.int().default(DEFAULT_CALLER_LIMITS.bodyBytes),
    headerTimeoutMs: z.number().default(DEFAULT_CALLER_LIMITS.headerTimeoutMs),
    idleTimeoutMs: z.number().default(DEFAULT_CALLER_LIMITS.idleTimeoutMs),
});

const configSchema = z.looseObject({
    version: z.int(),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    limits: limitsSchema.optional(),
    tenants: z.array(z.looseObject({
        name: z.string(),
        apiKeys: z.array(z.string()).default([]),
        priority: z.int().min(0).optional(),
    })).optional(),
});

/**
 * Turns the platform's configuration into a fleet document.
 *
 * @param source - What the operator sent.
 * @returns On the left, why it is refused as a whole.
 */
export function readDocument(source: Uint8Array): Either<DocumentError, FleetDocument> {
    return parseJson(source).chain(parseConfig).chain(config => checkDocument(translate(config)));
}

function parseJson(source: Uint8Array): Either<DocumentError, unknown> {
    return Either.encase(() => JSON.parse(Buffer.from(source).toString()) as unknown)
        .mapLeft(err => new DocumentError(`not JSON: ${err.message}`));
}

function parseConfig(value: unknown): Either<DocumentError, z.infer<typeof configSchema>> {
    return Either.encase(() => configSchema.parse(value)).mapLeft(err => {
        const [issue] = (err as z.ZodError).issues;
        return new DocumentError(`${issue.path.join(".") || "configuration"}: ${issue.message}`);
    });
}

function translate({ version, routes, services, limits, tenants }: z.infer<typeof configSchema>): unknown {
    return {
        version,
        routes: routes.map(translateRoute),
        pools: services.map(translateService),
        limits: limits
            ? {
                headerBytes: limits.maxHeaderBytes,
                bodyBytes: limits.maxBodyBytes,
                headerTimeoutMs: limits.headerTimeoutMs,
                idleTimeoutMs: limits.idleTimeoutMs,
            }
            : DEFAULT_CALLER_LIMITS,
        workspaces: tenants?.map(({ name, apiKeys, priority }) => ({ workspace: name, keys: apiKeys, tier: priority })),
    };
}

function translateRoute(route: z.infer<typeof routeSchema>): unknown {
    const { service, weightedSplit, kind, maxAttempts, authExempt, targetLatencyMs, targetGapMs, priority } = route;
    const whole = service === undefined ? [] : [{ pool: service, weight: 1 }];
    return {
        name: route.name,
        host: route.host,
        pathPrefix: route.pathPrefix,
        kind: KINDS[kind],
        timeoutMs: route.timeoutMs,
        targetMs: targetLatencyMs,
        gapMs: targetGapMs,
        tier: priority,
        attempts: Math.max(1, maxAttempts),
        resumable: route.resumable,
        keyless: authExempt,
        targets: weightedSplit?.map(part => ({ pool: part.service, weight: part.weight })) ?? whole,
    };
}

function translateService(
    { name, maxConnections, coldS, coldPerS, engine, scaling }: z.infer<typeof serviceSchema>,
): unknown {
    return {
        pool: name,
        connections: Math.max(1, maxConnections),
        cold: coldPerS > 0 ? { durationMs: coldS * MS_PER_SECOND, requestsPerSecond: coldPerS } : undefined,
        engine: engine && {
            kvTokens: Math.max(1, engine.kvCapacity),
            kvBytes: Math.max(1, engine.kvBytes),
            tokensPerEvent: Math.max(1, engine.stride),
            pinMs: engine.pinMs,
            canMove: engine.moves,
        },
        scaling: scaling && {
            least: scaling.min,
            most: scaling.max,
            bootMs: scaling.bootS * MS_PER_SECOND,
            reclaimablePrice: scaling.spotPrice,
            zonePrices: scaling.zonePrices,
        },
    };
}
