/** The settings schemas of all programs. */
export { controlSettingsSchema, type ControlSettings } from './control-settings.js';
export { edgeSettingsSchema, type EdgeSettings } from './edge-settings.js';
export { nodeSettingsSchema, type NodeSettings } from './node-settings.js';
export {
  DEFAULT_RETRY_BOUND,
  sidecarSettingsSchema,
  type SidecarSettings,
} from './sidecar-settings.js';
