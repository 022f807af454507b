/**
 * The fleet document: all that entries need to route calls of any path, in one piece. An operator replaces it as a whole; of two
 * documents the higher version holds.
 */
import * as z from "zod";
import { PoolId, WorkspaceId } from "../../ids/index.js";

/**
 * What may happen to a call. `idempotent`: it may run more than once. `once`: it runs once at most. `stream`: an answer of events
 * that goes out as it comes; it runs once at most, unless the route is resumable.
 */
export const CALL_KINDS = ["idempotent", "once", "stream"] as const;
export type CallKind = typeof CALL_KINDS[number];

const poolIdSchema = z.string().min(1).transform(text => text as PoolId);
const workspaceIdSchema = z.string().min(1).transform(text => text as WorkspaceId);

const targetSchema = z.object({
    pool: poolIdSchema,
    /** Its share beside the route's other targets. */
    weight: z.number().min(0),
});
/** One of the pools that a route's calls may go to. */
export type RouteTarget = z.infer<typeof targetSchema>;

const routeSchema = z.object({
    name: z.string().min(1),
    /** The callers' `Host` header, without a port. */
    host: z.string().min(1),
    /** Begins and ends with a slash; of those that match, the longest holds. */
    pathPrefix: z.string().startsWith("/").endsWith("/"),
    kind: z.enum(CALL_KINDS),
    /** The longest that a call may take, in milliseconds. */
    timeoutMs: z.number().positive(),
    /** Within this time an answer (a stream's first event) is on time, in milliseconds. */
    targetMs: z.number().min(0),
    /** The longest pause between two events of a stream that is on time, in milliseconds. */
    gapMs: z.number().min(0).optional(),
    /** 0 is the highest. */
    tier: z.int().min(0),
    /** How many upstreams may begin to work on one call. */
    attempts: z.int().min(1),
    /** A stream may go on at another upstream after the last event that was passed on. */
    resumable: z.boolean(),
    /** Calls need no key. */
    keyless: z.boolean(),
    targets: z.array(targetSchema).min(1),
});
/** Where calls of one host and path prefix go, and how. */
export type Route = z.infer<typeof routeSchema>;

const engineSchema = z.object({
    /** How many tokens an engine's memory takes. */
    kvTokens: z.number().positive(),
    /** Bytes of memory for each token. */
    kvBytes: z.number().positive(),
    /** Tokens that one event of a stream holds. */
    tokensPerEvent: z.number().positive(),
    /** How long a prompt may be kept in memory on request, in milliseconds. */
    pinMs: z.number().min(0),
    /** Running requests can be moved to another engine with their memory. */
    canMove: z.boolean(),
});
/** What the engines of a pool have in common. */
export type EngineSpec = z.infer<typeof engineSchema>;

const scalingSchema = z.object({
    /** The fewest and the most upstreams in one zone, steady and reclaimable ones together. */
    least: z.int().min(0),
    most: z.int().min(0),
    /** How long a new upstream takes until it serves, in milliseconds. */
    bootMs: z.number().min(0),
    /** What a reclaimable upstream costs, as a share of a steady one's price; undefined where there are none. */
    reclaimablePrice: z.number().min(0).optional(),
    /** The price of an upstream's second, by zone. */
    zonePrices: z.record(z.string(), z.number().min(0)),
});
/** How a pool's size may be changed. */
export type ScalingSpec = z.infer<typeof scalingSchema>;

const coldSchema = z.object({
    /** How long an upstream is cold after its start, in milliseconds. */
    durationMs: z.number().min(0),
    /** How many requests a second it bears meanwhile, from all hosts together. */
    requestsPerSecond: z.number().positive(),
});
/** What upstreams bear that have just started. */
export type ColdSpec = z.infer<typeof coldSchema>;

const poolSchema = z.object({
    pool: poolIdSchema,
    /** How many connections an upstream takes from all entries together. */
    connections: z.int().min(1),
    engine: engineSchema.optional(),
    /** Undefined: its upstreams bear their full load from the start. */
    cold: coldSchema.optional(),
    scaling: scalingSchema.optional(),
});
/** A group of interchangeable upstreams. */
export type PoolSpec = z.infer<typeof poolSchema>;

const callerLimitsSchema = z.object({
    headerBytes: z.int().positive(),
    bodyBytes: z.int().positive(),
    headerTimeoutMs: z.number().positive(),
    idleTimeoutMs: z.number().positive(),
});
/** What a caller may send, and how long it may take or stay idle. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

const workspaceSchema = z.object({
    workspace: workspaceIdSchema,
    keys: z.array(z.string().min(1)),
    /** Goes before the tier of the route. */
    tier: z.int().min(0).optional(),
});
/** A workspace and the keys that open it. */
export type DocumentWorkspace = z.infer<typeof workspaceSchema>;

/** The whole document. */
export const fleetDocumentSchema = z.object({
    version: z.int().min(0),
    routes: z.array(routeSchema),
    pools: z.array(poolSchema),
    limits: callerLimitsSchema,
    /** Undefined: calls need no keys at all. */
    workspaces: z.array(workspaceSchema).optional(),
});
export type FleetDocument = z.infer<typeof fleetDocumentSchema>;

/** The limits where a document gives none. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4 * 1024 * 1024,
    headerTimeoutMs: 10_000,
    idleTimeoutMs: 15_000,
};
