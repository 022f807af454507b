/**
 * Branded id types: the compiler rejects an id of one kind where another kind is expected.
 */
declare const brand: unique symbol;

/** A base type with a compile-time tag, without run-time cost. */
export type Brand<Base, Name extends string> = Base & { readonly [brand]: Name; };

/** Name of a host, from its process's settings. */
export type HostId = Brand<string, "HostId">;
/** Id of a data folder; created and lost with the folder. */
export type StoreId = Brand<string, "StoreId">;
/** Id of a cluster of control processes and its history; created when its first members agree. */
export type ClusterId = Brand<string, "ClusterId">;
/** Id of one run of a process on a host; each restart creates a new one. */
export type Incarnation = Brand<string, "Incarnation">;
/** Name of an availability zone. */
export type ZoneId = Brand<string, "ZoneId">;
/** Id of a workspace: a paying customer of an operator (a tenant). */
export type WorkspaceId = Brand<string, "WorkspaceId">;
/** Public id of an API key. It is not the key itself. */
export type KeyId = Brand<string, "KeyId">;
/** SHA-256 of an API key, in hex. */
export type KeyHash = Brand<string, "KeyHash">;
/** Id of a caller's request. */
export type RequestId = Brand<string, "RequestId">;
/** Fingerprint of a request's content: the same for each retry, whatever its request id. */
export type RequestFingerprint = Brand<string, "RequestFingerprint">;
/** Id of a part of a prompt, which other prompts may share. */
export type PartId = Brand<string, "PartId">;
/** Id of an upstream: a model engine or a plain service process. */
export type UpstreamId = Brand<string, "UpstreamId">;
/** Version of the software that an upstream runs, as it announces it; not that of a model's weights. */
export type SoftwareVersion = Brand<string, "SoftwareVersion">;
/** Id of a pool of interchangeable upstreams: the name of a model or a service. */
export type PoolId = Brand<string, "PoolId">;
/** Number of an event in its stream, from 0; it rises from event to event. */
export type EventId = Brand<number, "EventId">;
/** Name of a service class of a template. */
export type ClassName = Brand<string, "ClassName">;
/** Name of a template. */
export type TemplateName = Brand<string, "TemplateName">;
/** An operator's id of a change; the same on each resend. */
export type ChangeId = Brand<string, "ChangeId">;
/** Id of an order to the platform; the same on each resend. */
export type OrderId = Brand<string, "OrderId">;
/** Id of a usage report to the platform; the same on each resend. */
export type ReportId = Brand<string, "ReportId">;
/** Start of a usage window, in milliseconds since the epoch. */
export type WindowStart = Brand<number, "WindowStart">;
/** Index of an entry in the control log, from 1. */
export type LogIndex = Brand<number, "LogIndex">;
/** Election term of the control log. */
export type Term = Brand<number, "Term">;
/** Revision of the configuration: the index of its last change in the control log. */
export type Revision = Brand<number, "Revision">;
/** Fencing token; increases with each new holder of the control lease. */
export type FencingToken = Brand<number, "FencingToken">;
/** A caller's idempotency key. */
export type IdempotencyKey = Brand<string, "IdempotencyKey">;
