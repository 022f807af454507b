import * as z from "zod";
import { parseAddress } from "../../ports/index.js";

/** Largest incarnation or sequence number: later ones still fit, and microseconds since the epoch stay below it until 2112. */
export const MAX_ORDINAL = 2 ** 52;
/** Longest duration, in milliseconds: a century. */
export const MAX_DURATION_MS = 100 * 365 * 24 * 3_600_000;
/** Largest number of requests, or of slots for them, at one upstream. */
export const MAX_REQUESTS = 1_000_000;
/** Largest price or rate, far from where sums lose their precision. */
export const MAX_AMOUNT = 1e12;

/** A number that increases from one start, or one message, to the next. */
export const ordinalSchema = z.int().min(0).max(MAX_ORDINAL);
/** A duration, in milliseconds. */
export const durationSchema = z.number().min(0).max(MAX_DURATION_MS);
/** A number of requests. */
export const requestCountSchema = z.int().min(0).max(MAX_REQUESTS);
/** A price or rate. */
export const amountSchema = z.number().min(0).max(MAX_AMOUNT);
const ipSchema = z.union([z.ipv4(), z.ipv6()]);
/** `IP:port` of a listening process: without port 0, at which nothing can listen. */
export const ipAddressSchema = z.string().refine(text => isReachable(text, false), "no IP:port");
/** `IP:port`, or a host name and port, of a listening process. */
export const socketAddressSchema = z.string().refine(text => isReachable(text, true), "no address and port");

/** Matches a host that can only be meant as an IP address. */
const NUMERIC_HOST = /^[0-9.]+$|:/;

function isReachable(text: string, mayBeName: boolean): boolean {
    const address = parseAddress(text);
    if (!address || address.port === 0) return false;
    if (mayBeName && !NUMERIC_HOST.test(address.host)) return true;
    return ipSchema.safeParse(address.host).success;
}
