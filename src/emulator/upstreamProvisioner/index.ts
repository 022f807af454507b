import { Offer } from "../../protocol/index.js";

/** Upstream to start for the platform. */
export interface StartRequest {
    readonly id: string;
    readonly offer: Offer;
}

/** Starts and stops upstreams for the platform. */
export abstract class UpstreamProvisioner {
    /** Starts an upstream; it announces itself once it runs. */
    abstract start(request: StartRequest): Promise<void>;

    /** Stops an upstream gracefully; no-op if it doesn't exist. */
    abstract stop(id: string): Promise<void>;

    /** Notifies an upstream of its reclaim, and crashes it when the notice has expired. */
    abstract reclaim(id: string, noticeMs: number): void;
}

/** Starts nothing; for tests of orders alone. */
export class NoopUpstreamProvisioner extends UpstreamProvisioner {
    async start(): Promise<void> {}
    async stop(): Promise<void> {}
    reclaim(): void {}
}
