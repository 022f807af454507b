import { ConnectionUse } from "../http/index.js";

/** Maximum number of different ids that a connection carries. */
const MAX_IDS = 256;

interface ConnectionRecord {
    requests: number;
    readonly ids: Set<string>;
}

/**
 * Records the requests that connections have carried.
 *
 * @example
 * const use = history.record(socket, "a1b2");
 */
export class ConnectionHistory<Connection extends object> {
    private readonly records = new WeakMap<Connection, ConnectionRecord>();

    /**
     * Records that a request is sent on a connection.
     *
     * @param id - The id that its answer repeats; undefined where it has none.
     * @returns What the connection had carried before.
     */
    record(connection: Connection, id: string | undefined): ConnectionUse {
        const record = this.recordOf(connection);
        const hasCarried = id !== undefined && record.ids.has(id);
        const use = { hasCarried, earlierRequests: record.requests };
        record.requests++;
        if (id !== undefined) record.ids.add(id);
        return use;
    }

    /** Whether a connection has carried a request with an id. */
    hasCarried(connection: Connection, id: string): boolean {
        return this.records.get(connection)?.ids.has(id) ?? false;
    }

    /** Whether a connection must carry no further request, since its record takes no more ids. */
    isFull(connection: Connection): boolean {
        return (this.records.get(connection)?.ids.size ?? 0) >= MAX_IDS;
    }

    private recordOf(connection: Connection): ConnectionRecord {
        const known = this.records.get(connection);
        if (known) return known;
        const created = { requests: 0, ids: new Set<string>() };
        this.records.set(connection, created);
        return created;
    }
}
