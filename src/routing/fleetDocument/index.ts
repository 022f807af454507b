/**
 * The fleet document: everything that entries need to route calls of any path, in one piece. An operator replaces it as
 * a whole; of two documents the one with the higher version is in force.
 */
import * as z from "zod";
import { PoolId, WorkspaceId } from "../../ids/index.js";

/**
 * How often a call may run. `idempotent`: more than once. `once`: at most once. `stream`: at most once unless the route
 * is resumable; its answer consists of events that are passed on as they arrive.
 */
export const CALL_KINDS = ["idempotent", "once", "stream"] as const;
/** Whether and how a call may be repeated. */
export type CallKind = typeof CALL_KINDS[number];

const poolIdSchema = z.string().min(1).transform(text => text as PoolId);
const workspaceIdSchema = z.string().min(1).transform(text => text as WorkspaceId);

const targetSchema = z.object({
    pool: poolIdSchema,
    /** Relative to the weights of the route's other targets. */
    weight: z.number().min(0),
});
/** A pool that a route's calls may be sent to, with its weight. */
export type RouteTarget = z.infer<typeof targetSchema>;

const routeSchema = z.object({
    name: z.string().min(1),
    /** The `Host` header of the calls, without a port. */
    host: z.string().min(1),
    /** Starts and ends with a slash; the longest matching prefix applies. */
    pathPrefix: z.string().startsWith("/").endsWith("/"),
    kind: z.enum(CALL_KINDS),
    /** Maximum duration of a call, in milliseconds. */
    timeoutMs: z.number().positive(),
    /** Time within which an answer (for a stream, its first event) is on time, in milliseconds. */
    targetMs: z.number().min(0),
    /** Longest pause between two events of a stream that is on time, in milliseconds. */
    gapMs: z.number().min(0).optional(),
    /** Priority tier; 0 is the highest. */
    tier: z.int().min(0),
    /** Maximum number of upstreams that may start to work on one call. */
    attempts: z.int().min(1),
    /** Whether a stream may be continued by another upstream after the last event passed on. */
    resumable: z.boolean(),
    /** Whether calls need no key. */
    keyless: z.boolean(),
    targets: z.array(targetSchema).min(1),
});
/** Rules for the calls of one host and path prefix. */
export type Route = z.infer<typeof routeSchema>;

const engineSchema = z.object({
    /** KV cache capacity of an engine, in tokens. */
    kvTokens: z.number().positive(),
    /** KV cache size of a token, in bytes. */
    kvBytes: z.number().positive(),
    /** Number of tokens per event of a stream. */
    tokensPerEvent: z.number().positive(),
    /** Time for which a prompt may be kept in memory on request, in milliseconds. */
    pinMs: z.number().min(0),
    /** Whether running requests can be moved to another engine together with their memory. */
    canMove: z.boolean(),
});
/** Common properties of the engines of a pool. */
export type EngineSpec = z.infer<typeof engineSchema>;

const scalingSchema = z.object({
    /** Minimum and maximum number of upstreams per zone, on-demand and reclaimable ones together. */
    least: z.int().min(0),
    most: z.int().min(0),
    /** Time from the start of a new upstream until it serves, in milliseconds. */
    bootMs: z.number().min(0),
    /** Price of a reclaimable upstream as a share of the price of an on-demand one; undefined if there are none. */
    reclaimablePrice: z.number().min(0).optional(),
    /** Price of an upstream per second, by zone. */
    zonePrices: z.record(z.string(), z.number().min(0)),
});
/** Limits and prices for changing a pool's size. */
export type ScalingSpec = z.infer<typeof scalingSchema>;

const coldSchema = z.object({
    /** Time for which an upstream is cold after its start, in milliseconds. */
    durationMs: z.number().min(0),
    /** Requests per second that it can serve meanwhile, from all hosts together. */
    requestsPerSecond: z.number().positive(),
});
/** Limits of upstreams that have just started. */
export type ColdSpec = z.infer<typeof coldSchema>;

const poolSchema = z.object({
    pool: poolIdSchema,
    /** Maximum number of connections to an upstream from all entries together. */
    connections: z.int().min(1),
    engine: engineSchema.optional(),
    /** Undefined if its upstreams can serve their full load from the start. */
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
/** Limits on what a caller may send, and on how long it may take or stay idle. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

const workspaceSchema = z.object({
    workspace: workspaceIdSchema,
    keys: z.array(z.string().min(1)),
    /** Goes before the tier of the route: calls of workspaces of the same tier are ranked by those of their routes. */
    tier: z.int().min(0).optional(),
});
/** A workspace with its API keys. */
export type DocumentWorkspace = z.infer<typeof workspaceSchema>;

/** Schema of the whole document. */
export const fleetDocumentSchema = z.object({
    version: z.int().min(0),
    routes: z.array(routeSchema),
    pools: z.array(poolSchema),
    limits: callerLimitsSchema,
    /** Undefined if calls need no keys at all. */
    workspaces: z.array(workspaceSchema).optional(),
});
/** A validated fleet document. */
export type FleetDocument = z.infer<typeof fleetDocumentSchema>;

/** Limits that apply if a document states none. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4 * 1024 * 1024,
    headerTimeoutMs: 10_000,
    idleTimeoutMs: 15_000,
};
