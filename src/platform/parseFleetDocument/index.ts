import { isUtf8 } from "node:buffer";
import { Either, Left } from "purify-ts";
import * as z from "zod";
import { CallKind, checkDocument, DEFAULT_CALLER_LIMITS, DocumentError, FleetDocument } from "../../routing/index.js";

/** Maps the platform's call kinds to those of the fleet document. */
const CALL_KINDS: Readonly<Record<string, CallKind>> = {
    idempotent: "idempotent",
    non_idempotent: "once",
    streaming: "stream",
};
const MS_PER_SECOND = 1_000;
/** Maximum connections to an upstream when its service configures none. */
const DEFAULT_MAX_CONNECTIONS = 100;

const routeSchema = z.looseObject({
    name: z.string(),
    host: z.string(),
    pathPrefix: z.string(),
    kind: z.enum(["idempotent", "non_idempotent", "streaming"]),
    timeoutMs: z.number(),
    /** Latency objective of an answer, in milliseconds. Requests aren't cut off by it. */
    targetLatencyMs: z.number().default(0),
    targetGapMs: z.number().optional(),
    priority: z.int().min(0).default(0),
    service: z.string().optional(),
    weightedSplit: z.array(z.looseObject({ service: z.string(), weight: z.number() })).optional(),
    /** Maximum number of engines to which one client attempt is sent. */
    maxAttempts: z.int().default(1),
    authExempt: z.boolean().default(false),
    resumable: z.boolean().default(false),
});

const engineSchema = z.looseObject({
    kvCapacity: z.number().default(0),
    kvBytes: z.number().default(0),
    /** Tokens per stream event. */
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
    maxConnections: z.int().default(DEFAULT_MAX_CONNECTIONS),
    /** Duration for which an engine is cold after its start, in seconds. */
    coldS: z.number().min(0).default(0),
    /** Requests per second that a cold engine can handle, from all hosts together; 0 when engines are never cold. */
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
 * Parses the platform's configuration, checks it and converts it to a fleet document.
 *
 * @param source - JSON text as the operator sent it.
 * @returns The document, or on the left the first problem; a configuration with a problem is refused as a whole.
 */
export function parseFleetDocument(source: Uint8Array): Either<DocumentError, FleetDocument> {
    return parseJson(source).chain(parseConfig).chain(config => checkDocument(toFleetDocument(config)));
}

function parseJson(source: Uint8Array): Either<DocumentError, unknown> {
    if (!isUtf8(source)) return Left(new DocumentError("not JSON: bytes that are not UTF-8"));
    return Either.encase(() => JSON.parse(Buffer.from(source).toString()) as unknown)
        .mapLeft(err => new DocumentError(`not JSON: ${err.message}`));
}

function parseConfig(value: unknown): Either<DocumentError, z.infer<typeof configSchema>> {
    return Either.encase(() => configSchema.parse(value)).mapLeft(err => {
        const [issue] = (err as z.ZodError).issues;
        return new DocumentError(`${issue.path.join(".") || "configuration"}: ${issue.message}`);
    });
}

function toFleetDocument({ version, routes, services, limits, tenants }: z.infer<typeof configSchema>): unknown {
    return {
        version,
        routes: routes.map(toRoute),
        pools: services.map(toPool),
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

function toRoute(route: z.infer<typeof routeSchema>): unknown {
    const { service, weightedSplit, kind, maxAttempts, authExempt, targetLatencyMs, targetGapMs, priority } = route;
    const singleTarget = service === undefined ? [] : [{ pool: service, weight: 1 }];
    return {
        name: route.name,
        host: route.host,
        pathPrefix: route.pathPrefix,
        kind: CALL_KINDS[kind],
        timeoutMs: route.timeoutMs,
        targetMs: targetLatencyMs,
        gapMs: targetGapMs,
        tier: priority,
        attempts: Math.max(1, maxAttempts),
        resumable: route.resumable,
        keyless: authExempt,
        targets: weightedSplit?.map(split => ({ pool: split.service, weight: split.weight })) ?? singleTarget,
    };
}

function toPool(
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
