import { Metrics } from "../../metrics/index.js";

/** Which way a message went. */
export type TrafficWay = "sent" | "received";

/** The messages of one method, one way, since the process started. */
export interface TrafficRow {
    readonly method: string;
    readonly way: TrafficWay;
    readonly messages: number;
    /** With the frames around them. */
    readonly bytes: number;
}

interface Sums {
    messages: number;
    bytes: number;
}

/**
 * Counts what a process and its peers say to each other, by method: what of a fleet's traffic grows with its size.
 *
 * @example
 * router.traffic.note("sent", "dispatch.submit", 412);
 * router.traffic.report(metrics);
 */
export class PeerTraffic {
    private readonly sums: Record<TrafficWay, Map<string, Sums>> = { sent: new Map(), received: new Map() };
    private readonly reported = new Map<string, Sums>();

    /** Counts a message. */
    note(way: TrafficWay, method: string, bytes: number): void {
        const sums = this.sums[way].get(method);
        if (!sums) {
            this.sums[way].set(method, { messages: 1, bytes });
            return;
        }
        sums.messages++;
        sums.bytes += bytes;
    }

    /** The sums, those with the most bytes first. */
    list(): TrafficRow[] {
        const ways: readonly TrafficWay[] = ["sent", "received"];
        const rows = ways.flatMap(way => [...this.sums[way]].map(([method, sums]) => ({ method, way, ...sums })));
        return rows.sort((a, b) => b.bytes - a.bytes);
    }

    /** Adds what has come since the last report to the counters `peer_messages` and `peer_bytes`. */
    report(metrics: Metrics): void {
        for (const { method, way, messages, bytes } of this.list()) {
            const name = `${way} ${method}`;
            const before = this.reported.get(name) ?? { messages: 0, bytes: 0 };
            if (messages === before.messages) continue;
            this.reported.set(name, { messages, bytes });
            metrics.count("peer_messages", messages - before.messages, { method, way });
            metrics.count("peer_bytes", bytes - before.bytes, { method, way });
        }
    }
}
