import { Offer } from "../../protocol/index.js";

/** One upstream that the platform is to start. */
export interface StartRequest {
    readonly id: string;
    readonly offer: Offer;
}

/** Starts and stops upstreams for the platform. */
export abstract class Fleet {
    /** Starts an upstream; it announces itself once it runs. */
    abstract start(request: StartRequest): Promise<void>;

    /** Stops an upstream as planned; harmless when it is not there. */
    abstract stop(id: string): Promise<void>;

    /** Gives notice to an upstream, and takes it away when the time is up. */
    abstract reclaim(id: string, noticeMs: number): void;
}

/** Starts nothing; for tests of orders alone. */
export class NoFleet extends Fleet {
    async start(): Promise<void> {}
    async stop(): Promise<void> {}
    reclaim(): void {}
}
