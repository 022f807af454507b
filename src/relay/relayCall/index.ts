import { HostId } from "../../ids/index.js";
import { formatAddress, HeaderList, HttpCall } from "../../ports/index.js";
import { UpstreamCall, UpstreamTarget } from "../../upstream/index.js";
import { RelayHost } from "../relayDirectory/index.js";
import { encodeRelayMessage, FRAME_KINDS } from "../relayFrame/index.js";
import { RELAY_EXCHANGE_HEADER, RELAY_METHOD, RELAY_PATH, RelayRequest, RelayTarget } from "../relayMessage/index.js";

/** Timeout for connecting to a relay, in milliseconds. */
const CONNECT_TIMEOUT_MS = 150;
/** Timeout of a relay's answer to a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 300;

/**
 * Creates the request by which a relay sends a request on.
 *
 * @param origin - The host that asks.
 * @param elapsedMs - Time that has passed of the request's time limits, in milliseconds.
 * @param exchange - Id of this request, which the relay's answer repeats.
 * @example
 * const sent = await http.send(makeRelayCall(relay, self, call, 12, "host-1/7"));
 */
export function makeRelayCall(
    relay: RelayHost,
    origin: HostId,
    call: UpstreamCall,
    elapsedMs: number,
    exchange: string,
): HttpCall {
    const { target, method, path, id, deadlineHeader, newConnection, recentlyUsedOnly = false, signal } = call;
    const headTimeoutMs = Math.max(1, call.headTimeoutMs - elapsedMs);
    const request: RelayRequest = {
        kind: "call",
        origin,
        target: toRelayTarget(target),
        method,
        path,
        ...(id === undefined ? {} : { id }),
        headers: reduceDeadline(call.headers, deadlineHeader, elapsedMs),
        hasBody: call.body !== undefined,
        newConnection,
        recentlyUsedOnly,
        headTimeoutMs,
    };
    const sent = makeHttpCall(relay, request, headTimeoutMs, call.body);
    const headers: HeaderList = [...sent.headers, [RELAY_EXCHANGE_HEADER, exchange]];
    return { ...sent, headers, newConnection, recentlyUsedOnly, signal };
}

/**
 * Creates the request that asks a relay whether it reaches an upstream.
 *
 * @param origin - The host that asks.
 */
export function makeRelayProbe(relay: RelayHost, origin: HostId, target: UpstreamTarget): HttpCall {
    const request: RelayRequest = { kind: "probe", origin, target: toRelayTarget(target) };
    return makeHttpCall(relay, request, PROBE_TIMEOUT_MS);
}

function makeHttpCall(
    { address }: RelayHost,
    request: RelayRequest,
    headTimeoutMs: number,
    body: Uint8Array = new Uint8Array(),
): HttpCall {
    return {
        address,
        method: RELAY_METHOD,
        path: RELAY_PATH,
        headers: [["content-type", "application/octet-stream"]],
        body: Buffer.concat([encodeRelayMessage(FRAME_KINDS.message, request), body]),
        newConnection: false,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        headTimeoutMs,
    };
}

function toRelayTarget({ pool, upstream, incarnation = 0, software, address }: UpstreamTarget): RelayTarget {
    const required = software === undefined ? {} : { software };
    return { pool, upstream, incarnation, ...required, address: formatAddress(address) };
}

/** Takes the time that has passed off the header that states the remaining time. */
function reduceDeadline(headers: HeaderList, name: string | undefined, elapsedMs: number): HeaderList {
    if (name === undefined || elapsedMs < 1) return headers;
    return headers.map(([key, value]) => {
        const isDeadline = key.toLowerCase() === name;
        return isDeadline ? [key, String(Math.max(1, Math.floor(Number(value) - elapsedMs)))] : [key, value];
    });
}
