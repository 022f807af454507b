import { ControlLog } from "../../consensus/index.js";
import { HostId } from "../../ids/index.js";
import { ControlState } from "../controlState/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";

const RETRY_DELAY_MS = 500;
const PAUSE_MS = 5_000;

/** Options of `HolderAnnouncer`. */
export interface HolderAnnouncerOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly host: HostId;
    /** Address of this process's operators' API, `IP:port`. */
    readonly operatorAddress: string;
}

/** Writes the holder's operators' API address to the log, once per address. */
export class HolderAnnouncer extends HolderTask {
    readonly name = "holder-announcer";

    constructor(private readonly options: HolderAnnouncerOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { log, state, host, operatorAddress } = this.options;
        if (state.directory.find(host) === operatorAddress || !term.mayAct()) return PAUSE_MS;
        const proposed = await log.propose({ kind: "holder.announce", host, operatorAddress });
        return proposed.isRight() ? PAUSE_MS : RETRY_DELAY_MS;
    }
}
