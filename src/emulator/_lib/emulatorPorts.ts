import { Clock, Http, Random } from "../../ports/index.js";
import { KeyWatch } from "../keyWatch/index.js";

/** Ports that an emulated upstream or platform runs on, and the key watch that all of them share. */
export interface EmulatorPorts {
    readonly clock: Clock;
    readonly random: Random;
    readonly http: Http;
    readonly keyWatch: KeyWatch;
}
