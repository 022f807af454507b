import { Metrics } from "../../metrics/index.js";

/** Direction of a message. */
export type TrafficDirection = "sent" | "received";

/** Messages of one method in one direction since the process started. */
export interface TrafficRow {
    readonly method: string;
    readonly way: TrafficDirection;
    readonly messages: number;
    /** Includes the framing overhead. */
    readonly bytes: number;
}

interface TrafficTotals {
    messages: number;
    bytes: number;
}

/**
 * Counts messages between a process and its peers by method, which shows what traffic grows with the size of the fleet.
 *
 * @example
 * router.traffic.record("sent", "dispatch.submit", 412);
 * router.traffic.report(metrics);
 */
export class PeerTraffic {
    private readonly totals: Record<TrafficDirection, Map<string, TrafficTotals>> = {
        sent: new Map(),
        received: new Map(),
    };
    private readonly reportedTotals = new Map<string, TrafficTotals>();

    /** Counts a message. */
    record(direction: TrafficDirection, method: string, bytes: number): void {
        const totals = this.totals[direction].get(method);
        if (!totals) {
            this.totals[direction].set(method, { messages: 1, bytes });
            return;
        }
        totals.messages++;
        totals.bytes += bytes;
    }

    /** Returns the totals, sorted by bytes in descending order. */
    list(): TrafficRow[] {
        const directions: readonly TrafficDirection[] = ["sent", "received"];
        const rows = directions.flatMap(way =>
            [...this.totals[way]].map(([method, totals]) => ({ method, way, ...totals }))
        );
        return rows.sort((a, b) => b.bytes - a.bytes);
    }

    /** Adds the messages since the last report to the counters `peer_messages` and `peer_bytes`. */
    report(metrics: Metrics): void {
        for (const { method, way, messages, bytes } of this.list()) {
            const name = `${way} ${method}`;
            const reported = this.reportedTotals.get(name) ?? { messages: 0, bytes: 0 };
            if (messages === reported.messages) continue;
            this.reportedTotals.set(name, { messages, bytes });
            metrics.count("peer_messages", messages - reported.messages, { method, way });
            metrics.count("peer_bytes", bytes - reported.bytes, { method, way });
        }
    }
}
