import { ConnectionUse } from "../http/index.js";

/** Maximum number of ids that are kept for a connection, the latest ones. */
const MAX_IDS = 256;

/**
 * Records the requests that connections have carried.
 *
 * @example
 * const use = history.record(socket, "a1b2");
 */
export class ConnectionHistory<Connection extends object> {
    private readonly records = new WeakMap<Connection, { requests: number; readonly ids: string[]; }>();

    /**
     * Records that a request is sent on a connection.
     *
     * @param id - The id that its answer repeats; undefined where it has none.
     * @returns What the connection had carried before.
     */
    record(connection: Connection, id: string | undefined): ConnectionUse {
        const record = this.records.get(connection) ?? { requests: 0, ids: [] };
        this.records.set(connection, record);
        const use = { earlierRequests: record.requests, sameId: countEqual(record.ids, id) };
        record.requests++;
        if (id !== undefined) record.ids.push(id);
        if (record.ids.length > MAX_IDS) record.ids.shift();
        return use;
    }
}

function countEqual(ids: readonly string[], id: string | undefined): number {
    return ids.filter(known => known === id).length;
}
