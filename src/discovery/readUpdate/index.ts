import * as z from "zod";
import { UpstreamId } from "../../ids/index.js";
import { announcementSchema, ReadEntries, readEntries } from "../../protocol/index.js";
import { AnnouncementRecord } from "../../upstream/index.js";
import { AnnouncementUpdate, ExpiredUpstream } from "../announcementUpdate/index.js";

const ageSchema = z.number().min(0);
const recordSchema = z.object({
    announcement: announcementSchema,
    ageMs: ageSchema,
    relayed: z.boolean().optional(),
});
const expiredSchema = z.object({ id: z.string().min(1).transform(text => text as UpstreamId), ageMs: ageSchema });
const updateSchema = z.looseObject({
    records: z.unknown().optional(),
    lapsed: z.unknown().optional(),
    wallMs: z.unknown().optional(),
    sentMs: z.unknown().optional(),
});
const wallTimeSchema = z.number().min(0);
const sentTimeSchema = z.number().min(0).optional();

/** What can be used of an update. */
export interface ReadUpdate extends Pick<AnnouncementUpdate, "records"> {
    readonly lapsed: readonly ExpiredUpstream[];
    /** Undefined if the update has no valid one. */
    readonly wallMs: number | undefined;
    /** Undefined if the update has no valid one. */
    readonly sentMs: number | undefined;
    /** Number of entries that can't be used. */
    readonly rejected: number;
    /** What is wrong with the first of these. */
    readonly problem?: string;
}

const NOT_AN_UPDATE: ReadUpdate = {
    records: [],
    lapsed: [],
    wallMs: undefined,
    sentMs: undefined,
    rejected: 1,
    problem: "not an update",
};

/** Reads records passed on by another process. Each must satisfy what is required of an upstream's own announcements. */
export function readRecords(body: unknown): ReadEntries<AnnouncementRecord> {
    return readEntries(recordSchema, body);
}

/**
 * Reads an update from a publisher, and leaves out what can't be used.
 *
 * @example
 * const { records, lapsed, wallMs } = readUpdate(body);
 */
export function readUpdate(body: unknown): ReadUpdate {
    const update = updateSchema.safeParse(body);
    if (!update.success) return NOT_AN_UPDATE;
    const records = readRecords(update.data.records);
    const lapsed = readEntries(expiredSchema, update.data.lapsed ?? []);
    const wallMs = wallTimeSchema.safeParse(update.data.wallMs);
    return {
        records: records.entries,
        lapsed: lapsed.entries,
        wallMs: wallMs.data,
        sentMs: sentTimeSchema.safeParse(update.data.sentMs).data,
        rejected: records.rejected + lapsed.rejected + (wallMs.success ? 0 : 1),
        problem: records.problem ?? lapsed.problem ?? (wallMs.success ? undefined : "wallMs: not a time"),
    };
}
