import * as z from "zod";
import { HostId, ZoneId } from "../../ids/index.js";
import {
    folderPath,
    identifier,
    ipAddress,
    memberList,
    oneOf,
    optional,
    required,
    wholeNumber,
    withDefault,
} from "../_lib/setting.js";

const HOUR_MS = 3_600_000;
const MAX_BYTES = 64 * 1024 * 1024;

const durationMs = wholeNumber(1, 24 * HOUR_MS);

const host = z.object({
    id: required(
        identifier<HostId>(),
        "The host's name, kept over restarts; the host's entry and control process share it.",
    ),
    zone: required(identifier<ZoneId>(), "The availability zone that the host stands in."),
    region: required(identifier<string>(), "The region that the zone belongs to."),
});

const control = z.object({
    members: required(
        memberList,
        "The control processes with their peer listeners, the same list on each host. Three or five, in different zones.",
    ),
});

const usage = z.object({
    windowMs: withDefault(
        wholeNumber(1_000, 24 * HOUR_MS),
        "60000",
        "Length of a usage window in milliseconds; the same on each host. Windows start at whole multiples of it since the epoch.",
    ),
});

const metrics = z.object({
    statsd: optional(
        ipAddress,
        "Where figures go as StatsD packets. Without it, histograms are kept in the process only.",
    ),
    prefix: withDefault(identifier<string>(), "sequoiamux.", "Put before the name of each figure."),
    series: withDefault(
        wholeNumber(1, 100_000),
        "1000",
        "The most histograms kept in the process, one for each name and set of tags; what comes beyond is counted together.",
    ),
});

const log = z.object({
    level: withDefault(
        oneOf("debug", "info", "warn", "error"),
        "info",
        "The lowest level written. The environment variable DEBUG adds namespaces `sequoiamux:<role>:<level>`.",
    ),
});

const hostLimits = {
    memoryMb: withDefault(
        wholeNumber(128, 1_048_576),
        "350",
        "The memory that this process may use, in MB. What callers may hold together is derived from it: a third of what is beyond 110 MB.",
    ),
    descriptors: withDefault(
        wholeNumber(128, 1_048_576),
        "4096",
        "The file descriptors that this process may have open.",
    ),
};

const peerTiming = {
    heartbeatMs: withDefault(
        durationMs,
        "500",
        "A ping goes to a peer when nothing else has for this long, in milliseconds.",
    ),
    silenceMs: withDefault(
        durationMs,
        "2000",
        "A connection between own processes is reset when nothing came for this long, in milliseconds. At least twice the heartbeat.",
    ),
};

/** Schema of the settings of an entry process; error messages and the settings page are derived from it. */
export const entrySchema = z.object({
    role: z.literal("entry"),
    host,
    listen: z.object({
        callers: required(ipAddress, "Where callers send requests, behind the platform's balancer."),
        upstreams: required(ipAddress, "Where upstreams announce themselves."),
        peers: required(ipAddress, "Where the system's other processes connect."),
        relay: optional(
            ipAddress,
            "Where this host sends requests to upstreams for entries that have lost their paths to them. Keep it closed to everybody but the fleet's hosts. Without it this host sends none for others.",
        ),
        admin: required(ipAddress, "Health, readiness and the operator tool. Keep it on the operators' network."),
        routes: optional(
            ipAddress,
            "Where calls of any path are served, by the routes of the fleet document. Without it none are.",
        ),
    }),
    control,
    limits: z.object({
        bodyBytes: withDefault(wholeNumber(1_024, MAX_BYTES), "4194304", "The largest request body, in bytes."),
        headerBytes: withDefault(
            wholeNumber(1_024, 1_048_576),
            "16384",
            "The largest sum of a request's header lines, in bytes.",
        ),
        headerTimeoutMs: withDefault(
            durationMs,
            "10000",
            "How long a caller may take to send its headers, in milliseconds.",
        ),
        requestTimeoutMs: withDefault(
            durationMs,
            "30000",
            "How long a caller may take to send a whole request, in milliseconds.",
        ),
        requests: withDefault(
            wholeNumber(1, 1_000_000),
            "4096",
            "The most requests of callers under way at a time; more are refused with a time to come back.",
        ),
        ...hostLimits,
    }),
    timing: z.object(peerTiming),
    streams: z.object({
        firstByteMs: withDefault(
            durationMs,
            "15000",
            "An upstream that sent nothing this long after a request left is given up for it, in milliseconds.",
        ),
        tokenStallMs: withDefault(
            durationMs,
            "5000",
            "A stream without a token for this long is continued elsewhere where it can be, and otherwise given up after the limit of a first token, in milliseconds.",
        ),
    }),
    stop: z.object({
        graceMs: withDefault(
            durationMs,
            "600000",
            "The longest a planned stop waits for work under way, in milliseconds; beyond it the process ends with exit code 3.",
        ),
        balancerMs: withDefault(
            wholeNumber(0, HOUR_MS),
            "5000",
            "How long a stopping entry still takes new requests after it reports itself not ready, in milliseconds: the time that the balancer needs to notice.",
        ),
    }),
    usage,
    metrics,
    log,
});

/** Schema of the settings of a control process; error messages and the settings page are derived from it. */
export const controlSchema = z.object({
    role: z.literal("control"),
    host,
    listen: z.object({
        peers: required(ipAddress, "Where the system's other processes connect; other hosts list it in `members`."),
        operators: required(ipAddress, "Health, readiness and the operator tool. Keep it on the operators' network."),
        upstreams: optional(
            ipAddress,
            "Where upstreams of routed calls announce themselves; it also turns the fleet document on. The same on each control host: with or without.",
        ),
    }),
    control,
    limits: z.object(hostLimits),
    data: z.object({
        folder: required(
            folderPath,
            "The data folder, on a disk that keeps what was synced. One process has it at a time.",
        ),
        segmentBytes: withDefault(
            wholeNumber(65_536, MAX_BYTES),
            "8388608",
            "The size at which the log goes on in a new file, in bytes.",
        ),
        snapshotEntries: withDefault(
            wholeNumber(100, 10_000_000),
            "20000",
            "A snapshot is written, and the log cut, after this many entries.",
        ),
    }),
    platform: z.object({
        address: optional(
            ipAddress,
            "The platform's interface for orders of upstreams and for usage reports. Without it neither is sent.",
        ),
        checksFence: withDefault(
            oneOf("yes", "no"),
            "no",
            "Whether the platform refuses orders and reports with an old fencing token. With `no`, a new holder waits until nothing of the old one can still arrive.",
        ),
        purchases: withDefault(
            oneOf("off", "cover"),
            "off",
            "Whether upstreams are started and stopped by order: `off`, nothing is ordered; `cover`, the cheapest mix for the demand forecast such that the loss of one zone's reclaimable upstreams leaves the top tiers covered.",
        ),
        purchaseMs: withDefault(durationMs, "10000", "How often purchases of upstreams are planned, in milliseconds."),
    }),
    timing: z.object({
        ...peerTiming,
        electionMs: withDefault(
            wholeNumber(100, HOUR_MS),
            "1000",
            "How long a voter's promise to a leader lasts, in milliseconds: a leader that no majority answered for this long stops acting, and a voter that heard nothing for this long, and by chance up to as long again, asks for an election.",
        ),
        freshnessLeaseMs: withDefault(
            durationMs,
            "3000",
            "How long an entry may go on with its view after it asked the holder for changes, in milliseconds. A withdrawn key stops within this time, whatever is cut off.",
        ),
    }),
    usage: usage.extend({
        graceMs: withDefault(
            wholeNumber(0, HOUR_MS),
            "5000",
            "How long after its end a window still takes usage, in milliseconds; what comes later is an adjustment in a later window.",
        ),
    }),
    metrics,
    log,
});

/** Settings of an entry process. */
export type EntrySettings = z.output<typeof entrySchema>;

/** Settings of a control process. */
export type ControlSettings = z.output<typeof controlSchema>;

/** Settings of a daemon, discriminated by `role`. */
export type Settings = EntrySettings | ControlSettings;
